#include "ledger/record.hpp"

#include "base/json_text.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace poplar::ledger
{

namespace
{

using nlohmann::json;

constexpr std::size_t json_overhead_bytes = 160;

std::string to_base64(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    if (!absl::Base64Unescape(text, &bytes))
        throw parse_error("ledger record with a bad base64 field");
    return bytes;
}

json answer_to_json(const stored_answer& answer)
{
    json headers = json::array();
    for (const net::header& h : answer.headers)
        headers.push_back({to_base64(h.name), to_base64(h.value)});
    return {{"status", answer.status},
            {"headers", headers},
            {"body", to_base64(answer.body)},
            {"dropped", answer.body_dropped}};
}

stored_answer parse_answer(const json& j)
{
    stored_answer answer;
    answer.status = j.at("status").get<unsigned>();
    for (const json& h : j.at("headers"))
        answer.headers.push_back({from_base64(h.at(0).get<std::string>()),
                                  from_base64(h.at(1).get<std::string>())});
    answer.body = from_base64(j.at("body").get<std::string>());
    answer.body_dropped = j.at("dropped").get<bool>();
    return answer;
}

json call_to_json(const call_record& c)
{
    json j{{"tenant", to_base64(c.call.tenant.value)},
           {"key", to_base64(c.call.key.value)},
           {"digest", c.body_digest},
           {"at", c.recorded_at}};
    if (c.state == record_state::done)
        j["answer"] = answer_to_json(c.answer);
    return j;
}

call_record parse_call(const json& j, const service_id& service)
{
    call_record c;
    c.call.service = service;
    c.call.tenant = tenant_id(from_base64(j.at("tenant").get<std::string>()));
    c.call.key = idempotency_key(from_base64(j.at("key").get<std::string>()));
    c.body_digest = j.at("digest").get<std::uint64_t>();
    c.recorded_at = j.at("at").get<std::int64_t>();
    if (j.contains("answer"))
    {
        c.state = record_state::done;
        c.answer = parse_answer(j.at("answer"));
    }
    return c;
}

json calls_to_json(const std::vector<call_record>& calls)
{
    json array = json::array();
    for (const call_record& c : calls)
        array.push_back(call_to_json(c));
    return array;
}

std::vector<call_record> parse_calls(const json& array,
                                     const service_id& service)
{
    std::vector<call_record> calls;
    for (const json& c : array)
        calls.push_back(parse_call(c, service));
    return calls;
}

shard_record parse_shard(const json& j, const service_id& service)
{
    shard_record record;
    record.epoch = owner_epoch(j.at("epoch").get<std::uint64_t>());
    record.era = store_era(j.value("era", std::uint64_t(0)));
    record.owner = instance_id(j.at("owner").get<std::string>());
    record.owner_address = j.at("address").get<std::string>();
    record.write_id = j.at("write_id").get<std::string>();
    for (const json& s : j.at("segments"))
        record.segments.push_back({s.at("name").get<std::string>(),
                                   s.at("newest").get<std::int64_t>()});
    record.calls = parse_calls(j.at("calls"), service);
    return record;
}

} // namespace

std::string to_json(const shard_record& record)
{
    json segments = json::array();
    for (const segment_reference& s : record.segments)
        segments.push_back({{"name", s.name}, {"newest", s.newest_call}});
    const json j{{"epoch", record.epoch.value},
                 {"era", record.era.value},
                 {"owner", record.owner.value},
                 {"address", record.owner_address},
                 {"write_id", record.write_id},
                 {"segments", segments},
                 {"calls", calls_to_json(record.calls)}};
    return j.dump();
}

shard_record parse_shard_record(const std::string& text,
                                const service_id& service)
{
    try
    {
        return parse_shard(parse_json(text), service);
    }
    catch (const json::exception& ec)
    {
        throw parse_error(std::string("ledger record: ") + ec.what());
    }
}

std::string segment_to_json(const std::vector<call_record>& calls)
{
    return calls_to_json(calls).dump();
}

std::vector<call_record> parse_segment(const std::string& text,
                                       const service_id& service)
{
    try
    {
        return parse_calls(parse_json(text), service);
    }
    catch (const json::exception& ec)
    {
        throw parse_error(std::string("ledger segment: ") + ec.what());
    }
}

std::size_t json_size(const call_record& call)
{
    std::size_t n = json_overhead_bytes + call.call.key.value.size() +
                    call.call.tenant.value.size();
    for (const net::header& h : call.answer.headers)
        n += h.name.size() + h.value.size();
    return n + call.answer.body.size() * 4 / 3;
}

object_key shard_object(const service_id& service, unsigned shard)
{
    return object_key("ledger/" + service.value + "/" + std::to_string(shard));
}

object_key segment_object(const service_id& service, unsigned shard,
                          const std::string& name)
{
    return object_key(shard_object(service, shard).value + "/" + name);
}

stored_answer make_stored_answer(unsigned status,
                                 std::vector<net::header> headers,
                                 std::string body)
{
    stored_answer answer{status, std::move(headers), std::move(body), false};
    if (answer.body.size() > max_kept_body_bytes)
    {
        answer.body.clear();
        answer.body_dropped = true;
    }
    return answer;
}

} // namespace poplar::ledger
