#include "ledger/shard_machine.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplar::ledger
{

namespace
{

constexpr std::chrono::seconds drop_interval{60};

} // namespace

shard_machine::shard_machine(service_id service, unsigned shard,
                             shard_options options)
    : service_(std::move(service)), shard_(shard), options_(std::move(options))
{
}

std::vector<action> shard_machine::take_actions()
{
    return std::exchange(actions_, {});
}

bool shard_machine::is_released() const
{
    const bool is_owner =
        ownership_ == ownership::owned || ownership_ == ownership::taking;
    return is_releasing_ && !is_owner && !has_active_calls();
}

bool shard_machine::has_active_calls() const
{
    return std::ranges::any_of(calls_,
                               [](const auto& it) {
                                   return it.second.at == phase::running ||
                                          it.second.at == phase::recording;
                               });
}

void shard_machine::submit(const submission& s, mono_time now)
{
    if (is_releasing_)
        return submit_releasing(s);
    if (ownership_ == ownership::owned)
        return submit_owned(s);
    const bool is_foreign = ownership_ == ownership::foreign &&
                            now < foreign_until_ && !s.take_over;
    if (is_foreign)
        return answer(s.waiter, {answer_state::not_started,
                                 answer_cause::wrong_owner,
                                 {},
                                 foreign_address_});
    queue_.push_back(s);
    if (ownership_ != ownership::taking)
        start_read();
}

/// While the shard is handed over, calls that are already known are still
/// answered.
void shard_machine::submit_releasing(const submission& s)
{
    auto it = calls_.find(s.call);
    const bool is_settled =
        it != calls_.end() &&
        (it->second.at == phase::done || it->second.at == phase::running);
    if (is_settled)
        return submit_known(it->second, s);
    answer(s.waiter, {answer_state::not_started, answer_cause::closing});
}

void shard_machine::submit_owned(const submission& s)
{
    auto it = calls_.find(s.call);
    if (it != calls_.end())
        return submit_known(it->second, s);
    auto old = archived_.find(s.call);
    if (old != archived_.end())
        return answer_archived(old->second, s);
    call_state& c = calls_[s.call];
    c.record.call = s.call;
    c.record.body_digest = s.body_digest;
    c.record.recorded_at = wall_;
    add_waiter(c, s);
    has_changes_ = true;
    write_if_needed();
}

void shard_machine::answer_archived(const call_record& record,
                                    const submission& s)
{
    if (record.body_digest != s.body_digest)
        return answer(s.waiter,
                      {answer_state::not_run, answer_cause::key_reused});
    answer(s.waiter, {answer_state::done, answer_cause::none, record.answer});
}

void shard_machine::add_waiter(call_state& c, const submission& s)
{
    c.waiters.push_back({s.waiter, s.deadline});
    waited_for_.insert(s.call);
}

void shard_machine::submit_known(call_state& c, const submission& s)
{
    if (c.record.body_digest != s.body_digest)
        return answer(s.waiter,
                      {answer_state::not_run, answer_cause::key_reused});
    switch (c.at)
    {
    case phase::recording:
        add_waiter(c, s);
        return write_if_needed();
    case phase::running:
        add_waiter(c, s);
        return;
    case phase::idle:
        add_waiter(c, s);
        return run(c);
    case phase::done:
        return answer(s.waiter, {answer_state::done, answer_cause::none,
                                 c.record.answer});
    case phase::orphan:
        return answer(s.waiter, {answer_state::unknown});
    }
}

void shard_machine::start_read()
{
    ownership_ = ownership::taking;
    operation_ = operation::read;
    actions_.push_back({action_kind::read});
}

void shard_machine::read_done(const shard_record& record,
                              object_version version,
                              std::vector<call_record> archived, mono_time now,
                              std::int64_t wall)
{
    operation_ = operation::none;
    wall_ = wall;
    if (proposed_ && record.write_id == proposed_->write_id)
        return write_settled(version);
    if (proposed_ && ownership_ == ownership::owned)
        return lost_ownership(record, now);
    forget_ownership();
    const bool may_take = record.owner.empty() ||
                          record.owner == options_.instance ||
                          std::ranges::any_of(queue_, &submission::take_over);
    if (may_take && !is_releasing_)
        return take_ownership(record, version, std::move(archived), wall);
    ownership_ = ownership::foreign;
    foreign_address_ = record.owner_address;
    foreign_until_ = now + options_.foreign_owner_time;
    fail_queue(answer_cause::wrong_owner);
}

void shard_machine::read_failed(mono_time now)
{
    operation_ = operation::none;
    if (ownership_ == ownership::owned)
    {
        // The conflict is still to be explained; the write is repeated later.
        is_unresolved_ = true;
        retry_at_ = now + options_.write_retry_interval;
        return abandon_recording(answer_cause::unavailable);
    }
    forget_ownership();
    fail_queue(answer_cause::unavailable);
}

void shard_machine::take_ownership(const shard_record& record,
                                   object_version version,
                                   std::vector<call_record> archived,
                                   std::int64_t wall)
{
    ownership_ = ownership::taking;
    version_ = version;
    epoch_ = owner_epoch(record.epoch.value + 1);
    segments_ = record.segments;
    for (call_record& old : archived)
        archived_.emplace(old.call, std::move(old));
    load_calls(record.calls);
    drop_expired(wall);
    start_write();
}

void shard_machine::load_calls(std::vector<call_record> calls)
{
    for (call_record& record : calls)
    {
        if (calls_.contains(record.call))
            continue;
        call_state c;
        c.at = record.state == record_state::done ? phase::done : phase::orphan;
        c.is_outcome_recorded = record.state == record_state::done;
        c.record = std::move(record);
        calls_.emplace(c.record.call, std::move(c));
    }
}

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

void shard_machine::became_owner()
{
    ownership_ = ownership::owned;
    for (const submission& s : std::exchange(queue_, {}))
        submit_owned(s);
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

void shard_machine::lost_ownership(const shard_record& current, mono_time now)
{
    foreign_address_ = current.owner_address;
    foreign_until_ = now + options_.foreign_owner_time;
    const answer_cause cause = answer_cause::wrong_owner;
    for (auto& [key, c] : calls_)
    {
        if (c.at == phase::recording)
            answer_all(
                c, {answer_state::not_started, cause, {}, foreign_address_});
        if (c.at == phase::done && !c.is_outcome_recorded)
            forward(c);
        c.is_outcome_recorded = true;
    }
    forget_ownership();
    ownership_ = current.owner.empty() ? ownership::none : ownership::foreign;
}

/// Keeps only calls that this process has sent and whose outcome is not yet
/// recorded.
void shard_machine::forget_ownership()
{
    ownership_ = ownership::none;
    proposed_.reset();
    is_unresolved_ = false;
    has_changes_ = false;
    write_retries_ = 0;
    segments_.clear();
    archived_.clear();
    for (auto& [key, c] : calls_)
        c.is_proposed = false;
    std::erase_if(calls_,
                  [](const auto& it)
                  {
                      const call_state& c = it.second;
                      return c.at != phase::running &&
                             (c.at != phase::done || c.is_outcome_recorded);
                  });
}

void shard_machine::fail_queue(answer_cause cause)
{
    for (const submission& s : std::exchange(queue_, {}))
        answer(s.waiter,
               {answer_state::not_started, cause, {}, foreign_address_});
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

std::vector<call_key> shard_machine::segment_candidates() const
{
    std::size_t n = 0;
    std::vector<call_key> settled;
    for (const auto& [key, c] : calls_)
    {
        n += json_size(c.record);
        if (c.at == phase::done)
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

void shard_machine::run(call_state& c)
{
    c.at = phase::running;
    action a{action_kind::run};
    a.call = c.record.call;
    a.waiter = c.waiters.front().waiter;
    actions_.push_back(std::move(a));
}

void shard_machine::run_done(const call_key& call, const run_result& result)
{
    auto it = calls_.find(call);
    if (it == calls_.end() || it->second.at != phase::running)
        return;
    call_state& c = it->second;
    has_changes_ = true;
    switch (result.state)
    {
    case run_state::done:
        c.at = phase::done;
        c.record.state = record_state::done;
        c.record.answer = result.answer;
        answer_all(c, {answer_state::done, answer_cause::none, result.answer});
        break;
    case run_state::not_sent:
        c.at = phase::idle;
        answer_all(c, {answer_state::not_run, answer_cause::not_sent});
        break;
    case run_state::unknown:
        c.at = phase::orphan;
        answer_all(c, {answer_state::unknown});
        break;
    }
    if (ownership_ == ownership::foreign || ownership_ == ownership::none)
    {
        if (c.at == phase::done)
            forward(c);
        calls_.erase(it);
        return;
    }
    write_if_needed();
}

void shard_machine::outcome_reported(const call_record& outcome)
{
    auto it = calls_.find(outcome.call);
    const bool is_news = it != calls_.end() && it->second.at == phase::orphan &&
                         it->second.record.body_digest == outcome.body_digest &&
                         ownership_ == ownership::owned;
    if (!is_news)
        return;
    it->second.at = phase::done;
    it->second.record.state = record_state::done;
    it->second.record.answer = outcome.answer;
    has_changes_ = true;
    write_if_needed();
}

void shard_machine::expire(mono_time now, std::int64_t wall)
{
    wall_ = wall;
    expire_waiters(now);
    std::erase_if(queue_,
                  [&](const submission& s)
                  {
                      if (now < s.deadline)
                          return false;
                      answer(s.waiter, {answer_state::not_started,
                                        answer_cause::deadline});
                      return true;
                  });
    if (now >= retry_at_)
        write_if_needed();
}

void shard_machine::expire_waiters(mono_time now)
{
    for (const call_key& key : std::exchange(waited_for_, {}))
    {
        auto it = calls_.find(key);
        if (it == calls_.end())
            continue;
        call_state& c = it->second;
        expire_call(c, now);
        if (!c.waiters.empty())
            waited_for_.insert(key);
        else if (c.at == phase::recording && !c.is_proposed)
            calls_.erase(it);
    }
}

void shard_machine::expire_call(call_state& c, mono_time now)
{
    const auto is_late = [&](const waiting& w)
    {
        return now >= w.deadline;
    };
    const auto late =
        std::ranges::stable_partition(c.waiters, std::not_fn(is_late));
    const std::vector<waiting> expired(late.begin(), late.end());
    c.waiters.erase(late.begin(), late.end());
    // While another waiter remains, the call may still be sent.
    const bool may_run = c.at == phase::running || !c.waiters.empty();
    for (const waiting& w : expired)
        answer(w.waiter, may_run ? call_answer{answer_state::in_progress}
                                 : call_answer{answer_state::not_started,
                                               answer_cause::deadline});
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

void shard_machine::release()
{
    is_releasing_ = true;
    fail_queue(answer_cause::closing);
    write_if_needed();
}

void shard_machine::answer(waiter_number waiter, call_answer content)
{
    action a{action_kind::answer};
    a.waiter = waiter;
    a.answer = std::move(content);
    actions_.push_back(std::move(a));
}

void shard_machine::answer_all(call_state& c, const call_answer& content)
{
    for (const waiting& w : std::exchange(c.waiters, {}))
        answer(w.waiter, content);
}

void shard_machine::forward(const call_state& c)
{
    action a{action_kind::forward};
    a.call = c.record.call;
    a.outcome = c.record;
    a.owner_address = foreign_address_;
    actions_.push_back(std::move(a));
}

} // namespace poplar::ledger
