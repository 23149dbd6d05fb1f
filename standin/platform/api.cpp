#include "standin/platform/api.hpp"

#include "observe/log.hpp"
#include "store/api_json.hpp"

#include <algorithm>
#include <charconv>

namespace poplar::standin_platform
{

namespace
{

using net::http_request;
using net::http_response;
using net::json_response;
using net::responder_ptr;
using nlohmann::json;

constexpr std::int64_t longest_watch_ms = 60000;
const std::string objects_path = "/v1/objects/";
const std::string instances_path = "/admin/instances/";
const std::string era_header = "X-Store-Era";

std::string dump(const json& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response error_response(unsigned status, const std::string& message)
{
    return json_response(status, dump({{"error", message}}));
}

http_response versioned(unsigned status, std::uint64_t version,
                        std::string body)
{
    return {status, {{"X-Version", std::to_string(version)}}, std::move(body)};
}

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t n = 0;
    const char* end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, n);
    if (text.empty() || ec != std::errc() || it != end)
        return std::nullopt;
    return n;
}

/// Version that the write expects, 0 for an object that must not exist;
/// nothing when the request has no valid condition.
std::optional<std::uint64_t> expected_version(const http_request& request)
{
    if (const auto* match = net::find_header(request.headers, "If-Match"))
        return parse_number(*match);
    const auto* none = net::find_header(request.headers, "If-None-Match");
    if (none && *none == "*")
        return 0;
    return std::nullopt;
}

/// False when the version that the write expects is of another era.
bool expects_era(const http_request& request, std::uint64_t era)
{
    const auto* named = net::find_header(request.headers, era_header);
    return !named || parse_number(*named) == era;
}

void read_faults(const json& j, fault_settings& f)
{
    const auto milliseconds = [&](const char* key, duration present) -> duration
    {
        return std::chrono::milliseconds(
            j.value(key, to_milliseconds(present)));
    };
    f.outage = j.value("outage", f.outage);
    f.lose_answers = j.value("lose_answers", f.lose_answers);
    f.latency = milliseconds("latency_ms", f.latency);
    f.instance_lag = milliseconds("instance_lag_ms", f.instance_lag);
    f.writes_per_s = j.value("writes_per_s", f.writes_per_s);
    f.reads_per_s = j.value("reads_per_s", f.reads_per_s);
}

json to_json(const fault_settings& f)
{
    return {{"outage", f.outage},
            {"lose_answers", f.lose_answers},
            {"latency_ms", to_milliseconds(f.latency)},
            {"instance_lag_ms", to_milliseconds(f.instance_lag)},
            {"writes_per_s", f.writes_per_s},
            {"reads_per_s", f.reads_per_s}};
}

} // namespace

platform_api::platform_api(const platform_settings& settings)
    : objects_(settings.history), copy_(settings.history),
      faults_(settings.faults), read_bucket_(settings.faults.reads_per_s),
      write_bucket_(settings.faults.writes_per_s)
{
}

void platform_api::handle(const http_request& request,
                          const responder_ptr& answer)
{
    replies out;
    try
    {
        absl::MutexLock lock(&mutex_);
        out = dispatch(request, answer);
        add_era(out);
    }
    catch (const json::exception& ec)
    {
        out = {{answer, error_response(400, ec.what())}};
    }
    catch (const parse_error& ec)
    {
        out = {{answer, error_response(400, ec.what())}};
    }
    send(std::move(out));
}

void platform_api::add_era(replies& out) const
{
    if (era_ == 0)
        return;
    for (reply& it : out)
        it.response.headers.push_back({era_header, std::to_string(era_)});
}

void platform_api::send(replies out)
{
    duration latency;
    {
        absl::MutexLock lock(&mutex_);
        latency = faults_.latency;
    }
    for (reply& it : out)
    {
        auto deliver = [r = std::move(it)]() mutable
        {
            if (r.lost)
                r.to->abort();
            else
                r.to->respond(std::move(r.response));
        };
        if (latency == duration::zero())
            deliver();
        else
            later_.after(latency, std::move(deliver));
    }
}

platform_api::replies platform_api::dispatch(const http_request& request,
                                             const responder_ptr& answer)
{
    if (request.path.starts_with("/v1/"))
        return platform_call(request, answer);
    if (request.path.starts_with(instances_path))
        return {{answer, set_instance(request)}};
    if (request.path == "/admin/faults" && request.method == "POST")
        return set_faults(request.body, answer);
    if (request.path == "/admin/counters")
        return {{answer, counters()}};
    return {{answer, error_response(404, "no such path")}};
}

platform_api::replies platform_api::platform_call(const http_request& request,
                                                  const responder_ptr& answer)
{
    const bool is_write = request.method == "PUT" || request.method == "DELETE";
    if (!is_write && request.method != "GET")
        return {{answer, error_response(405, "method not allowed")}};
    ++(is_write ? counters_.writes : counters_.reads);
    if (faults_.outage)
    {
        ++counters_.refused_in_outage;
        return {{answer, error_response(503, "outage")}};
    }
    if (!(is_write ? write_bucket_ : read_bucket_).take(now()))
    {
        ++counters_.rate_limited;
        return {{answer, error_response(429, "rate limit")}};
    }
    if (request.path.starts_with(objects_path))
    {
        const std::string key =
            store::unescape(request.path.substr(objects_path.size()));
        if (is_write)
            return write_object(request, key, answer);
        return {{answer, read_object(key)}};
    }
    if (is_write)
        return {{answer, error_response(405, "method not allowed")}};
    if (request.path == "/v1/list")
        return {{answer, json_response(200, dump(objects_.list(net::query_value(
                                                request, "prefix", ""))))}};
    if (request.path == "/v1/watch")
        return watch(request, answer);
    if (request.path != "/v1/instances")
        return {{answer, error_response(404, "no such path")}};
    ++counters_.instance_lists;
    return {{answer, json_response(200, store::to_json(instances_.read(
                                            now(), faults_.instance_lag)))}};
}

http_response platform_api::read_object(const std::string& key) const
{
    const stored_object* found = objects_.find(key);
    if (!found)
        return error_response(404, "no such object");
    return versioned(200, found->version, found->value.value());
}

platform_api::replies platform_api::write_object(const http_request& request,
                                                 const std::string& key,
                                                 const responder_ptr& answer)
{
    const auto expected = expected_version(request);
    if (!expected || key.empty())
        return {{answer, error_response(400, "the write has no condition")}};
    if (request.body.size() > store::max_value_bytes)
        return {{answer, error_response(413, "value above 1 MiB")}};
    std::optional<std::string> value;
    if (request.method == "PUT")
        value = request.body;
    const write_result result =
        expects_era(request, era_)
            ? objects_.write(key, std::move(value), *expected)
            : write_result{false, objects_.version_of(key)};
    if (!result.written)
    {
        ++counters_.conflicts;
        return {{answer, versioned(409, result.version, "")}};
    }
    ++counters_.written;
    reply own{answer, versioned(200, result.version, "")};
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        ++counters_.lost_answers;
        own.lost = true;
    }
    replies out{std::move(own)};
    answer_watches(key, out);
    return out;
}

void platform_api::answer_watches(const std::string& key, replies& out)
{
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        const waiting_watch& w = it->second;
        if (!key.starts_with(w.prefix))
        {
            ++it;
            continue;
        }
        if (const auto found = objects_.changes(w.prefix, w.after))
            out.push_back({w.answer, json_response(200, dump(*found))});
        else
            out.push_back({w.answer, error_response(410, "compacted")});
        it = watches_.erase(it);
    }
}

platform_api::replies platform_api::watch(const http_request& request,
                                          const responder_ptr& answer)
{
    ++counters_.watches;
    const std::string prefix = net::query_value(request, "prefix", "");
    const auto after = parse_number(net::query_value(request, "after", "0"));
    const auto limit =
        parse_number(net::query_value(request, "timeout_ms", "1000"));
    if (!after || !limit)
        return {{answer, error_response(400, "after or timeout_ms")}};
    const auto found = objects_.changes(prefix, *after);
    if (!found)
        return {{answer, error_response(410, "compacted")}};
    if (!found->at("changes").empty())
        return {{answer, json_response(200, dump(*found))}};
    const std::uint64_t number = ++last_watch_;
    watches_[number] = {answer, prefix, *after};
    const auto wait = std::min<std::uint64_t>(*limit, longest_watch_ms);
    later_.after(std::chrono::milliseconds(wait),
                 [this, number] { end_watch(number); });
    return {};
}

/// Answers a watch whose time has passed, with the revision reached, so that
/// watches of quiet prefixes do not fall behind the kept changes.
void platform_api::end_watch(std::uint64_t number)
{
    replies out;
    {
        absl::MutexLock lock(&mutex_);
        const auto it = watches_.find(number);
        if (it == watches_.end())
            return;
        const json nothing{{"revision", objects_.revision()},
                           {"changes", json::array()}};
        out.push_back({it->second.answer, json_response(200, dump(nothing))});
        watches_.erase(it);
        add_era(out);
    }
    send(std::move(out));
}

http_response platform_api::set_instance(const http_request& request)
{
    const instance_id id(
        store::unescape(request.path.substr(instances_path.size())));
    if (id.empty())
        return error_response(400, "no instance");
    if (request.method == "DELETE")
        instances_.remove(id, now());
    else if (request.method == "PUT")
        instances_.set(store::parse_instance(id, request.body), now());
    else
        return error_response(405, "method not allowed");
    return json_response(200, "{}");
}

platform_api::replies platform_api::set_faults(const std::string& body,
                                               const responder_ptr& answer)
{
    const json wanted = json::parse(body);
    read_faults(wanted, faults_);
    read_bucket_.set_rate(faults_.reads_per_s);
    write_bucket_.set_rate(faults_.writes_per_s);
    const std::string text = dump(to_json(faults_));
    observe::log(observe::event::platform_faults_changed, {{"faults", text}});
    replies out{{answer, json_response(200, text)}};
    if (wanted.value("copy", false))
        copy_ = objects_;
    if (wanted.value("restore", false))
        restore(out);
    if (faults_.outage)
    {
        for (const auto& [number, w] : watches_)
            out.push_back({w.answer, error_response(503, "outage")});
        watches_.clear();
    }
    return out;
}

void platform_api::restore(replies& out)
{
    objects_ = copy_;
    ++era_;
    for (const auto& [number, w] : watches_)
        out.push_back({w.answer, error_response(410, "compacted")});
    watches_.clear();
}

http_response platform_api::counters() const
{
    const call_counters& c = counters_;
    return json_response(200, dump({{"reads", c.reads},
                                    {"writes", c.writes},
                                    {"written", c.written},
                                    {"watches", c.watches},
                                    {"instance_lists", c.instance_lists},
                                    {"conflicts", c.conflicts},
                                    {"rate_limited", c.rate_limited},
                                    {"refused_in_outage", c.refused_in_outage},
                                    {"lost_answers", c.lost_answers},
                                    {"waiting_watches", watches_.size()},
                                    {"revision", objects_.revision()},
                                    {"era", era_}}));
}

} // namespace poplar::standin_platform
