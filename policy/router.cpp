#include "policy/router.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

/// Score added for an engine whose last report is older than the report
/// timeout, in seconds.
constexpr double stale_report_seconds = 30;
/// Score added when an engine would have more streams than slots, including the
/// new one, in seconds, since a stream on a full engine waits until another
/// answer is complete. The full value is added for max_streams excess streams,
/// and in proportion for fewer or more. It is also added when the engine has no
/// free KV cache block.
constexpr double overload_seconds = 5;
/// Largest number of own load changes recorded per engine between reports.
constexpr std::size_t max_load_changes = 512;

} // namespace

router::router(const router_settings& settings)
    : settings_(settings), index_(settings.blocks_per_engine)
{
}

std::vector<engine_index>* router::role_list(const engine_info& info)
{
    if (!info.available || info.role == sheet::engine_role::unassigned)
        return nullptr;
    role_lists& lists = groups_[info.group];
    return is_prefill_only(info.role) ? &lists.prefill_engines
                                      : &lists.stream_engines;
}

void router::add_to_list(engine_index engine)
{
    std::vector<engine_index>* list = role_list(engines_[engine].info);
    if (!list)
        return;
    engines_[engine].list_position = static_cast<std::uint32_t>(list->size());
    list->push_back(engine);
}

void router::remove_from_list(engine_index engine)
{
    std::vector<engine_index>* list = role_list(engines_[engine].info);
    if (!list)
        return;
    const std::uint32_t position = engines_[engine].list_position;
    (*list)[position] = list->back();
    engines_[list->back()].list_position = position;
    list->pop_back();
}

engine_index router::set_engine(const engine_info& info)
{
    const auto [it, added] = by_instance_.try_emplace(info.instance, 0);
    if (added)
    {
        if (free_indexes_.empty())
        {
            it->second = static_cast<engine_index>(engines_.size());
            engines_.emplace_back();
        }
        else
        {
            it->second = free_indexes_.back();
            free_indexes_.pop_back();
        }
        engines_[it->second] = {};
        engines_[it->second].present = true;
    }
    else
    {
        remove_from_list(it->second);
        if (engines_[it->second].info.role != info.role)
            index_.clear(it->second);
    }
    engines_[it->second].info = info;
    add_to_list(it->second);
    return it->second;
}

void router::remove_engine(const instance_id& instance)
{
    const auto it = by_instance_.find(instance);
    if (it == by_instance_.end())
        return;
    remove_from_list(it->second);
    index_.clear(it->second);
    engines_[it->second] = {};
    free_indexes_.push_back(it->second);
    by_instance_.erase(it);
}

std::optional<engine_index> router::find(const instance_id& instance) const
{
    const auto it = by_instance_.find(instance);
    if (it == by_instance_.end())
        return std::nullopt;
    return it->second;
}

const engine_info& router::info(engine_index engine) const
{
    return engines_.at(engine).info;
}

void router::report(engine_index engine, const engine_report& r, mono_time now)
{
    engine_state& e = engines_.at(engine);
    if (!e.present || r.measured_at < e.reported.measured_at)
        return;
    e.reported = r;
    e.report_received_at = now;
    while (!e.changes_since_report.empty() &&
           e.changes_since_report.front().at <= r.measured_at)
        e.changes_since_report.pop_front();
    load_change at_measurement{r.measured_at, e.own_prompt, e.own_streams};
    for (const load_change& later : e.changes_since_report)
    {
        at_measurement.prompt -= later.prompt;
        at_measurement.streams -= later.streams;
    }
    e.foreign_prompt = std::max<std::int64_t>(
        0, r.queued_prompt_tokens.value -
               std::max<std::int64_t>(0, at_measurement.prompt));
    e.foreign_streams = std::max(0, static_cast<int>(r.streams) -
                                        std::max(0, at_measurement.streams));
}

void router::cache_events(engine_index engine,
                          std::span<const cache_change> events, bool lost)
{
    engine_state& e = engines_.at(engine);
    if (!e.present)
        return;
    if (lost)
    {
        index_.clear(engine);
        e.next_sequence = 0;
    }
    for (const cache_change& change : events)
    {
        if (change.sequence < e.next_sequence)
            continue;
        if (e.next_sequence != 0 && change.sequence > e.next_sequence)
            index_.clear(engine);
        e.next_sequence = change.sequence + 1;
        if (change.added)
            index_.add(engine, change.block);
        else
            index_.remove(engine, change.block);
    }
}

std::vector<engine_index> router::candidates(
    const route_request& request, const std::vector<engine_index>& list,
    const std::vector<engine_index>& holders, random_source& random) const
{
    std::vector<engine_index> result;
    const auto add = [&](engine_index engine)
    {
        if (std::ranges::find(request.excluded, engine) ==
            request.excluded.end())
            result.push_back(engine);
    };
    if (list.size() <= settings_.score_all_up_to)
    {
        std::ranges::for_each(list, add);
        return result;
    }
    const std::size_t first = random() % list.size();
    for (unsigned i = 0; i < settings_.random_candidates; ++i)
        add(list[random() % list.size()]);
    for (std::size_t i = 0;
         i <
         std::min<std::size_t>(holders.size(), settings_.max_prefix_holders);
         ++i)
    {
        const engine_index engine = holders[(first + i) % holders.size()];
        const engine_state& e = engines_[engine];
        if (e.list_position < list.size() && list[e.list_position] == engine)
            add(engine);
    }
    for (std::size_t i = 0; result.empty() && i < list.size(); ++i)
        add(list[(first + i) % list.size()]);
    return result;
}

std::size_t
router::cached_blocks(engine_index engine, const route_request& request,
                      std::size_t longest_prefix,
                      const std::vector<engine_index>& holders) const
{
    if (request.kind == route_kind::decode || longest_prefix == 0)
        return 0;
    if (std::ranges::find(holders, engine) != holders.end())
        return longest_prefix;
    return index_.match(engine, request.blocks.first(longest_prefix));
}

double router::estimate_start_seconds(const engine_state& e,
                                      const route_request& r,
                                      token_count cached, mono_time now) const
{
    const double speed = is_prefill_only(e.info.role)
                             ? settings_.speed.prefill_tokens_per_second
                             : settings_.speed.shared_prefill_rate();
    const std::int64_t queued = e.foreign_prompt + e.own_prompt;
    const std::int64_t uncached =
        r.kind == route_kind::decode
            ? 0
            : std::max<std::int64_t>(0, r.prompt.value - cached.value);
    double start = static_cast<double>(queued + uncached) / speed;
    if (e.report_received_at != mono_time() &&
        now - e.report_received_at > settings_.report_timeout)
        start += stale_report_seconds;
    return start;
}

double router::score(const engine_state& e, const route_request& r,
                     double start) const
{
    double result = start;
    if (r.kind != route_kind::prefill)
    {
        const double streams = e.foreign_streams + e.own_streams;
        const double utilization = streams / settings_.speed.max_streams;
        result += utilization * settings_.stream_utilization_seconds;
        result +=
            std::max(0.0, utilization - 1 + 1.0 / settings_.speed.max_streams) *
            overload_seconds;
        if (e.reported.kv_pieces_free <= 0)
            result += overload_seconds;
    }
    if (!r.preferred_domain.empty() &&
        e.info.failure_domain != r.preferred_domain)
        result += settings_.other_domain_seconds;
    return result;
}

std::optional<route> router::choose(const route_request& request, mono_time now,
                                    random_source& random) const
{
    const auto group = groups_.find(request.group);
    if (group == groups_.end())
        return std::nullopt;
    const std::vector<engine_index>& list = request.kind == route_kind::prefill
                                                ? group->second.prefill_engines
                                                : group->second.stream_engines;
    std::vector<engine_index> holders;
    const std::size_t longest_prefix =
        request.kind == route_kind::decode
            ? 0
            : index_.longest_prefix(request.blocks, holders);
    std::optional<route> best;
    double best_score = 0;
    for (engine_index engine : candidates(request, list, holders, random))
    {
        const engine_state& e = engines_[engine];
        const std::size_t matched_blocks =
            cached_blocks(engine, request, longest_prefix, holders);
        const token_count cached(
            static_cast<std::int64_t>(matched_blocks * block_tokens));
        const double start = estimate_start_seconds(e, request, cached, now);
        const double engine_score = score(e, request, start);
        if (best && engine_score >= best_score)
            continue;
        best = route{engine, cached, from_seconds(start)};
        best_score = engine_score;
    }
    return best;
}

void router::record_load_change(engine_index engine, const load_change& change)
{
    engine_state& e = engines_.at(engine);
    if (!e.present)
        return;
    // Work of a removed engine may end after its index was reused for another
    // engine, so the counts are clamped to 0.
    e.own_prompt = std::max<std::int64_t>(0, e.own_prompt + change.prompt);
    e.own_streams = std::max(0, e.own_streams + change.streams);
    if (e.changes_since_report.size() < max_load_changes)
    {
        e.changes_since_report.push_back(change);
        return;
    }
    // Reports are overdue and the list is full: merge the change into the last
    // one. Its time becomes inexact, but the sums stay correct.
    e.changes_since_report.back().at = change.at;
    e.changes_since_report.back().prompt += change.prompt;
    e.changes_since_report.back().streams += change.streams;
}

void router::dispatched(engine_index engine, const route_request& request,
                        token_count uncached, mono_time now)
{
    if (!engines_.at(engine).present)
        return;
    const std::int64_t prompt =
        request.kind == route_kind::decode ? 0 : uncached.value;
    const int streams = request.kind == route_kind::prefill ? 0 : 1;
    record_load_change(engine, {now, prompt, streams});
    for (std::uint64_t block : request.blocks)
        index_.add(engine, block);
}

void router::prompt_computed(engine_index engine, token_count uncached,
                             mono_time now)
{
    if (engine < engines_.size())
        record_load_change(engine, {now, -uncached.value, 0});
}

void router::finished(engine_index engine, mono_time now)
{
    if (engine < engines_.size())
        record_load_change(engine, {now, 0, -1});
}

std::size_t router::memory_bytes() const
{
    std::size_t bytes = index_.memory_bytes();
    bytes += engines_.capacity() * sizeof(engine_state);
    for (const engine_state& e : engines_)
        bytes += e.changes_since_report.size() * sizeof(load_change) +
                 e.info.instance.value.capacity() +
                 e.info.group.value.capacity() +
                 e.info.failure_domain.value.capacity();
    bytes += by_instance_.capacity() *
             (sizeof(instance_id) + sizeof(engine_index) + 1);
    return bytes;
}

} // namespace poplar::policy
