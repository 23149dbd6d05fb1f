// Load reports as FlatBuffers.
#include "gateway/load_exchange.hpp"
#include "wire/generated/load_report_generated.h"

#include <algorithm>
#include <cmath>

namespace poplar::gateway
{

namespace
{

namespace fb = wire::fb;

constexpr std::uint16_t report_version = 1;
/// Year 5138; more microseconds could overflow.
constexpr std::int64_t max_unix_ms = 100'000'000'000'000;
/// Rate on the wire that stands for the end of a limit.
constexpr double no_limit = -1;

std::uint32_t clamp32(std::int64_t n)
{
    return std::uint32_t(std::clamp<std::int64_t>(n, 0, UINT32_MAX));
}

fb::upstream_load to_wire(std::uint64_t upstream,
                          const policy::placed_load& load)
{
    const auto& r = load.prefill_tokens;
    return {upstream,
            clamp32(r[0].value),
            clamp32(r[1].value),
            clamp32(r[2].value),
            clamp32(r[3].value),
            clamp32(load.kv_tokens.value),
            load.in_flight};
}

policy::placed_load from_wire(const fb::upstream_load& in)
{
    return {{token_count(in.reading_0()), token_count(in.reading_1()),
             token_count(in.reading_2()), token_count(in.reading_3())},
            token_count(in.kept_tokens()),
            in.runs()};
}

std::uint32_t to_wire_ms(double seconds)
{
    return clamp32(std::int64_t(seconds * 1000));
}

std::vector<fb::leaving_upstream>
to_wire(const std::vector<upstream_process>& leaving)
{
    std::vector<fb::leaving_upstream> out;
    std::ranges::transform(
        leaving, std::back_inserter(out),
        [](const upstream_process& it)
        { return fb::leaving_upstream(it.upstream, it.started_ms); });
    return out;
}

std::vector<fb::request_limit>
to_wire(const std::vector<announced_limit>& limits)
{
    std::vector<fb::request_limit> out;
    std::ranges::transform(limits, std::back_inserter(out),
                           [](const announced_limit& it)
                           {
                               return fb::request_limit(
                                   it.upstream, it.started_ms,
                                   it.per_second.value_or(no_limit),
                                   clamp32(to_milliseconds(it.age)));
                           });
    return out;
}

/// Throws parse_error.
announced_limit from_wire(const fb::request_limit& in)
{
    const double rate = in.per_second();
    if (!std::isfinite(rate))
        throw parse_error("load report with a request limit out of range");
    return {in.upstream(), in.started_ms(),
            rate < 0 ? std::nullopt : std::optional(rate),
            std::chrono::milliseconds(in.age_ms())};
}

/// Times on the wire are ages, since the clocks of gateways differ.
std::uint32_t age_ms(mono_time at, mono_time now)
{
    return clamp32(to_milliseconds(now - at));
}

std::vector<fb::block_crash>
to_wire(const std::vector<policy::block_crash>& crashes, mono_time now)
{
    std::vector<fb::block_crash> out;
    std::ranges::transform(crashes, std::back_inserter(out),
                           [now](const policy::block_crash& it)
                           {
                               return fb::block_crash(
                                   it.block, it.process.engine,
                                   it.process.started_ms, age_ms(it.at, now));
                           });
    return out;
}

std::vector<fb::block_completion>
to_wire(const std::vector<policy::block_completion>& completions, mono_time now)
{
    std::vector<fb::block_completion> out;
    std::ranges::transform(
        completions, std::back_inserter(out),
        [now](const policy::block_completion& it)
        { return fb::block_completion(it.block, age_ms(it.at, now)); });
    return out;
}

std::vector<fb::request_crash>
to_wire(const std::vector<policy::request_crash>& crashes, mono_time now)
{
    std::vector<fb::request_crash> out;
    std::ranges::transform(crashes, std::back_inserter(out),
                           [now](const policy::request_crash& it)
                           {
                               return fb::request_crash(
                                   it.request, it.process.engine,
                                   it.process.started_ms, age_ms(it.at, now));
                           });
    return out;
}

std::vector<fb::request_completion>
to_wire(const std::vector<policy::request_completion>& completions,
        mono_time now)
{
    std::vector<fb::request_completion> out;
    std::ranges::transform(
        completions, std::back_inserter(out),
        [now](const policy::request_completion& it)
        { return fb::request_completion(it.request, age_ms(it.at, now)); });
    return out;
}

void read_request_crashes(const fb::load_report& in, load_report& report)
{
    if (in.request_crashes())
        for (const fb::request_crash* it : *in.request_crashes())
            report.request_crashes.push_back(
                {it->request(),
                 {it->upstream(), it->started_ms()},
                 now() - std::chrono::milliseconds(it->age_ms())});
    if (in.request_completions())
        for (const fb::request_completion* it : *in.request_completions())
            report.request_completions.push_back(
                {it->request(),
                 now() - std::chrono::milliseconds(it->age_ms())});
}

std::vector<fb::service_demand> to_wire(const demand_by_service& demand)
{
    std::vector<fb::service_demand> out;
    std::ranges::transform(demand, std::back_inserter(out),
                           [](const auto& it)
                           {
                               return fb::service_demand(
                                   it.first, to_wire_ms(it.second.prefill),
                                   to_wire_ms(it.second.decode));
                           });
    return out;
}

std::optional<fb::followed_state>
to_wire(const std::optional<followed_state>& state)
{
    if (!state)
        return std::nullopt;
    return fb::followed_state(state->digest,
                              clamp32(to_milliseconds(state->age)));
}

std::optional<followed_state> from_wire(const fb::followed_state* in)
{
    if (!in)
        return std::nullopt;
    return followed_state{in->digest(),
                          std::chrono::milliseconds(in->age_ms())};
}

} // namespace

std::string encode_load_report(const load_report& report)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<fb::upstream_load> loads;
    loads.reserve(report.loads.size());
    for (const auto& [upstream, load] : report.loads)
        loads.push_back(to_wire(upstream, load));
    std::vector<fb::placed_part> blocks;
    blocks.reserve(report.blocks.size());
    for (const reported_block& it : report.blocks)
        blocks.emplace_back(it.upstream, it.block.digest,
                            clamp32(it.block.tokens.value),
                            clamp32(to_milliseconds(it.ready_in)));
    const auto leaving = to_wire(report.leaving);
    const auto demand = to_wire(report.demand);
    const auto limits = to_wire(report.limits);
    const auto crashes = to_wire(report.crashes, now());
    const auto completions = to_wire(report.completions, now());
    const auto request_crashes = to_wire(report.request_crashes, now());
    const auto request_completions = to_wire(report.request_completions, now());
    const auto configuration = to_wire(report.configuration);
    builder.Finish(fb::Createload_report(
        builder, report_version, builder.CreateString(report.sender),
        report.process, report.number, builder.CreateVectorOfStructs(loads),
        builder.CreateVectorOfStructs(blocks),
        configuration ? &*configuration : nullptr,
        builder.CreateVectorOfStructs(leaving),
        builder.CreateVectorOfStructs(demand),
        builder.CreateVectorOfStructs(limits),
        builder.CreateVectorOfStructs(crashes),
        builder.CreateVectorOfStructs(completions),
        to_milliseconds(report.wall_clock),
        builder.CreateVectorOfStructs(request_crashes),
        builder.CreateVectorOfStructs(request_completions)));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

load_report decode_load_report(std::span<const char> bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<fb::load_report>(nullptr))
        throw parse_error("not a load report");
    const fb::load_report* in = fb::Getload_report(data);
    if (in->version() != report_version || !in->sender())
        throw parse_error("load report of an unknown version");
    load_report report;
    report.sender = in->sender()->str();
    report.process = in->process();
    report.number = in->number();
    if (in->loads())
        for (const fb::upstream_load* it : *in->loads())
            report.loads.emplace_back(it->upstream(), from_wire(*it));
    if (in->parts())
        for (const fb::placed_part* it : *in->parts())
            report.blocks.push_back(
                {it->upstream(),
                 {it->part(), token_count(it->tokens())},
                 std::chrono::milliseconds(it->ready_in_ms())});
    report.configuration = from_wire(in->configuration());
    if (in->leaving())
        for (const fb::leaving_upstream* it : *in->leaving())
            report.leaving.push_back({it->upstream(), it->started_ms()});
    if (in->demand())
        for (const fb::service_demand* it : *in->demand())
            report.demand.push_back(
                {it->service(),
                 {it->reading_ms() / 1000.0, it->running_ms() / 1000.0}});
    if (in->limits())
        for (const fb::request_limit* it : *in->limits())
            report.limits.push_back(from_wire(*it));
    if (in->crashes())
        for (const fb::block_crash* it : *in->crashes())
            report.crashes.push_back(
                {it->block(),
                 {it->upstream(), it->started_ms()},
                 now() - std::chrono::milliseconds(it->age_ms())});
    if (in->completions())
        for (const fb::block_completion* it : *in->completions())
            report.completions.push_back(
                {it->block(), now() - std::chrono::milliseconds(it->age_ms())});
    read_request_crashes(*in, report);
    report.wall_clock = std::chrono::milliseconds(
        std::clamp<std::int64_t>(in->unix_ms(), 0, max_unix_ms));
    return report;
}

} // namespace poplar::gateway
