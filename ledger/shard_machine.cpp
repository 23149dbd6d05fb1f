#include "ledger/shard_machine.hpp"

#include "base/era_numbers.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplar::ledger
{

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
    store_seen(era_of(version), now);
    if (proposed_ && record.write_id == proposed_->write_id)
        return write_settled(version);
    if (proposed_ && ownership_ == ownership::owned)
    {
        const bool is_ours =
            record.epoch < epoch_ || record.owner == options_.instance;
        if (is_of_earlier_era(version_) && record.epoch <= epoch_ && is_ours)
            return write_again(record, version, archived);
        return lost_ownership(record, now);
    }
    forget_ownership();
    const bool may_take = record.owner.empty() ||
                          record.owner == options_.instance ||
                          std::ranges::any_of(queue_, &submission::take_over);
    if (may_take && may_lack_calls(record, now))
        return fail_queue(answer_cause::unavailable);
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
    epoch_ = owner_epoch(next_in_era(record.epoch.value, era_));
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

void shard_machine::store_seen(store_era era, mono_time at)
{
    if (era <= era_)
        return;
    era_ = era;
    era_seen_at_ = at;
    has_changes_ = has_changes_ || ownership_ == ownership::owned;
}

bool shard_machine::is_of_earlier_era(object_version version) const
{
    return era_of(version) < era_;
}

/// The last owner may hold calls that a copy of the store lacks.
bool shard_machine::may_lack_calls(const shard_record& record,
                                   mono_time now) const
{
    return record.era < era_ && now - era_seen_at_ < options_.restored_wait;
}

/// The record is that of a copy: what was written since is only known here.
void shard_machine::write_again(const shard_record& record,
                                object_version version,
                                const std::vector<call_record>& archived)
{
    proposed_.reset();
    is_unresolved_ = false;
    write_retries_ = 0;
    version_ = version;
    segments_ = record.segments;
    keep_unarchived(archived);
    for (const call_record& it : record.calls)
    {
        // An owner of the copy may have sent it.
        const auto known = calls_.find(it.call);
        if (known == calls_.end() || known->second.at != phase::recording)
            continue;
        answer_all(known->second,
                   {answer_state::not_started, answer_cause::unavailable});
        calls_.erase(known);
    }
    load_calls(record.calls);
    for (auto& [key, c] : calls_)
    {
        c.is_proposed = false;
        c.is_outcome_recorded = false;
    }
    has_changes_ = true;
    write_if_needed();
}

/// Moves the calls whose segments are gone back to the shard object.
void shard_machine::keep_unarchived(const std::vector<call_record>& archived)
{
    std::map<call_key, call_record> before = std::exchange(archived_, {});
    for (const call_record& it : archived)
    {
        before.erase(it.call);
        archived_.emplace(it.call, it);
    }
    std::vector<call_record> calls;
    std::ranges::transform(before, std::back_inserter(calls),
                           [](auto& it) { return std::move(it.second); });
    load_calls(std::move(calls));
}

void shard_machine::became_owner()
{
    ownership_ = ownership::owned;
    for (const submission& s : std::exchange(queue_, {}))
        submit_owned(s);
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
        if (c.at == phase::done &&
            (!c.is_outcome_recorded || is_of_earlier_era(version_)))
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
