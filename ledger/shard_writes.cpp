// Writes of a shard: the record with its intents and outcomes, and segments.
#include "ledger/shard_machine.hpp"

#include <algorithm>
#include <utility>

namespace poplar::ledger
{

namespace
{

constexpr std::chrono::seconds drop_interval{60};

} // namespace

void shard_machine::write_done(write_result result, object_version version,
                               mono_time now)
{
    const operation ended = std::exchange(operation_, operation::none);
    if (ended == operation::write_segment)
        return segment_done(result, now);
    switch (result)
    {
    case write_result::written:
        return write_settled(version);
    case write_result::conflict:
        operation_ = operation::read;
        actions_.push_back({action_kind::read});
        return;
    case write_result::unavailable:
        return write_unavailable(now);
    case write_result::unknown_outcome:
        return write_unknown(now);
    }
}

void shard_machine::write_settled(object_version version)
{
    const bool is_released = proposed_->owner.empty();
    version_ = version;
    proposed_.reset();
    is_unresolved_ = false;
    write_retries_ = 0;
    if (is_released)
        return forget_ownership();
    std::vector<call_state*> sendable;
    for (auto& [key, c] : calls_)
    {
        if (!std::exchange(c.is_proposed, false))
            continue;
        if (c.at == phase::done)
            c.is_outcome_recorded = true;
        if (c.at == phase::recording)
        {
            c.at = phase::idle;
            has_changes_ = has_changes_ || c.waiters.empty();
            if (!c.waiters.empty())
                sendable.push_back(&c);
        }
    }
    std::ranges::for_each(sendable, [&](call_state* c) { run(*c); });
    if (ownership_ == ownership::taking)
        became_owner();
    write_if_needed();
}

void shard_machine::write_unavailable(mono_time now)
{
    retry_at_ = now + options_.write_retry_interval;
    if (ownership_ == ownership::taking)
    {
        // A taking write carries no intent, so its outcome does not matter.
        forget_ownership();
        return fail_queue(answer_cause::unavailable);
    }
    if (!is_unresolved_)
    {
        proposed_.reset();
        has_changes_ = true;
        for (auto& [key, c] : calls_)
            c.is_proposed = false;
    }
    abandon_recording(answer_cause::unavailable);
}

void shard_machine::write_unknown(mono_time now)
{
    is_unresolved_ = true;
    ++write_retries_;
    if (write_retries_ <= options_.max_write_retries)
        return repeat_write();
    write_retries_ = 0;
    write_unavailable(now);
}

/// Answers everyone who waits for an intent to be recorded. An intent that may
/// have been recorded stays known, so that a repeat of the call can still run.
void shard_machine::abandon_recording(answer_cause cause)
{
    for (auto& [key, c] : calls_)
        if (c.at == phase::recording)
            answer_all(c, {answer_state::not_started, cause});
    std::erase_if(
        calls_, [](const auto& it)
        { return it.second.at == phase::recording && !it.second.is_proposed; });
}

void shard_machine::write_if_needed()
{
    if (ownership_ != ownership::owned || operation_ != operation::none)
        return;
    if (is_unresolved_)
        return repeat_write();
    const bool is_ready_to_release = is_releasing_ && !has_active_calls();
    if (!has_changes_ && !is_ready_to_release)
        return;
    std::vector<call_key> old = segment_candidates();
    if (!old.empty())
        return start_segment(std::move(old));
    start_write();
}

void shard_machine::start_write()
{
    proposed_ = make_record();
    operation_ = operation::write;
    action a{action_kind::write};
    a.value = to_json(*proposed_);
    a.expected = version_;
    actions_.push_back(std::move(a));
}

/// Repeats the same content against the same version: it cannot take effect
/// twice, and it settles whether the earlier try did.
void shard_machine::repeat_write()
{
    operation_ = operation::write;
    action a{action_kind::write};
    a.value = to_json(*proposed_);
    a.expected = version_;
    a.is_retry = true;
    actions_.push_back(std::move(a));
}

shard_record shard_machine::make_record()
{
    drop_expired(wall_);
    std::erase_if(
        calls_, [](const auto& it)
        { return it.second.at == phase::idle && it.second.waiters.empty(); });
    shard_record record;
    record.epoch = epoch_;
    record.era = era_;
    if (!is_releasing_ || has_active_calls())
    {
        record.owner = options_.instance;
        record.owner_address = options_.address;
    }
    record.write_id =
        options_.process_nonce + "-" + std::to_string(++write_count_);
    record.segments = segments_;
    for (auto& [key, c] : calls_)
    {
        c.is_proposed = true;
        record.calls.push_back(c.record);
    }
    has_changes_ = false;
    return record;
}

/// Not more than fit into one segment: after a restore of the store the calls
/// of many segments may have to be written again.
std::vector<call_key> shard_machine::segment_candidates() const
{
    std::size_t n = 0;
    std::size_t n_settled = 0;
    std::vector<call_key> settled;
    for (const auto& [key, c] : calls_)
    {
        const std::size_t size = json_size(c.record);
        n += size;
        if (c.at != phase::done || n_settled > options_.segment_limit_bytes)
            continue;
        n_settled += size;
        settled.push_back(key);
    }
    if (n <= options_.segment_limit_bytes)
        return {};
    return settled;
}

void shard_machine::start_segment(std::vector<call_key> calls)
{
    std::vector<call_record> records;
    std::int64_t newest = 0;
    for (const call_key& key : calls)
    {
        records.push_back(calls_.at(key).record);
        newest = std::max(newest, records.back().recorded_at);
    }
    segment_calls_ = std::move(calls);
    segment_pending_ = {options_.process_nonce + "-" +
                            std::to_string(++segment_count_),
                        newest};
    operation_ = operation::write_segment;
    action a{action_kind::write_segment};
    a.value = segment_to_json(records);
    a.segment = segment_pending_.name;
    actions_.push_back(std::move(a));
}

void shard_machine::segment_done(write_result result, mono_time now)
{
    // The name is unique, so a conflict means that an earlier try of the same
    // write took effect.
    const bool is_written =
        result == write_result::written || result == write_result::conflict;
    if (!is_written)
    {
        retry_at_ = now + options_.write_retry_interval;
        has_changes_ = true;
        return abandon_recording(answer_cause::unavailable);
    }
    segments_.push_back(segment_pending_);
    for (const call_key& key : segment_calls_)
    {
        auto it = calls_.find(key);
        if (it == calls_.end())
            continue;
        archived_.emplace(key, std::move(it->second.record));
        calls_.erase(it);
    }
    has_changes_ = true;
    write_if_needed();
}

void shard_machine::drop_expired(std::int64_t wall)
{
    if (wall < next_drop_)
        return;
    next_drop_ = wall + drop_interval.count();
    const std::int64_t oldest = wall - options_.retention.count();
    std::erase_if(calls_,
                  [&](const auto& it)
                  {
                      const call_state& c = it.second;
                      const bool is_settled =
                          c.at == phase::done || c.at == phase::orphan;
                      return is_settled && c.record.recorded_at < oldest;
                  });
    std::erase_if(archived_, [&](const auto& it)
                  { return it.second.recorded_at < oldest; });
    std::erase_if(segments_, [&](const segment_reference& s)
                  { return s.newest_call < oldest; });
}

} // namespace poplar::ledger
