#include "ledger/ledger.hpp"

#include "base/error.hpp"
#include "observe/log.hpp"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <thread>
#include <unordered_map>

namespace poplar::ledger
{

namespace
{

constexpr duration expiry_interval = std::chrono::milliseconds(20);
constexpr duration write_retry_wait = std::chrono::milliseconds(50);

/// A store operation that a worker is to carry out.
struct store_task
{
    unsigned shard = 0;
    action what;
};

/// What the machine is told when an operation has ended.
struct store_outcome
{
    bool is_read = false;
    bool read_failed = false;
    shard_record record;
    std::vector<call_record> archived;
    object_version version;
    write_result result = write_result::unavailable;
};

write_result to_write_result(store::store_failure failure)
{
    if (failure == store::store_failure::unknown_outcome)
        return write_result::unknown_outcome;
    return write_result::unavailable;
}

absl::Duration to_absl(duration d)
{
    return absl::Microseconds(d.count());
}

} // namespace

/// One mutex guards all shards; it is never held while a hook or the store is
/// called.
class service_ledger::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(store::object_store& store, ledger_options options)
        : store_(store), options_(std::move(options))
    {
    }

    void start();
    void stop();
    void submit(call c, answer_hook hook);
    void report_outcome(const call_record& outcome);
    std::vector<unsigned> owned_shards() const;
    void release();
    bool is_released() const;

private:
    struct open_call
    {
        call content;
        answer_hook hook;
    };

    /// Work for hooks, collected under the lock and done after it.
    struct effects
    {
        std::vector<action> actions;
        std::vector<open_call> runs;
        std::vector<answer_hook> hooks; ///< One for each answer, in order.
    };

    shard_machine& machine(unsigned shard)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void note_era(store_era era) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    effects collect(unsigned shard) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void apply(effects e);
    void run_call(const open_call& c);
    void work();
    void expire_loop();
    void expire();
    std::optional<store_task> next_task();
    void wait_for_write_permit();
    store_outcome perform(const store_task& task);
    store_outcome read(unsigned shard);
    store_outcome write(const store_task& task);
    void deliver(unsigned shard, store_outcome outcome);

    store::object_store& store_;
    ledger_options options_;
    mutable absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool is_releasing_ ABSL_GUARDED_BY(mutex_) = false;
    std::uint64_t waiter_count_ ABSL_GUARDED_BY(mutex_) = 0;
    mono_time next_write_ ABSL_GUARDED_BY(mutex_);
    store_era era_ ABSL_GUARDED_BY(mutex_);
    mono_time era_seen_at_ ABSL_GUARDED_BY(mutex_);
    std::map<unsigned, shard_machine> machines_ ABSL_GUARDED_BY(mutex_);
    std::unordered_map<std::uint64_t, open_call>
        open_calls_ ABSL_GUARDED_BY(mutex_);
    std::deque<store_task> tasks_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_;
};

void service_ledger::implementation::start()
{
    for (unsigned i = 0; i < options_.threads; ++i)
        threads_.emplace_back([this] { work(); });
    threads_.emplace_back([this] { expire_loop(); });
}

void service_ledger::implementation::stop()
{
    {
        absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
    }
    for (std::thread& t : threads_)
        t.join();
    threads_.clear();
}

shard_machine& service_ledger::implementation::machine(unsigned shard)
{
    auto it = machines_.find(shard);
    if (it == machines_.end())
    {
        it = machines_
                 .emplace(shard, shard_machine(options_.service, shard,
                                               options_.shard))
                 .first;
        it->second.store_seen(era_, era_seen_at_);
    }
    return it->second;
}

void service_ledger::implementation::note_era(store_era era)
{
    if (era <= era_)
        return;
    era_ = era;
    era_seen_at_ = now();
    for (auto& [shard, m] : machines_)
        m.store_seen(era_, era_seen_at_);
}

void service_ledger::implementation::submit(call c, answer_hook hook)
{
    effects e;
    {
        absl::MutexLock lock(&mutex_);
        const unsigned shard = shard_of(c.key);
        submission s;
        s.waiter = waiter_number(++waiter_count_);
        s.call = c.key;
        s.body_digest = digest(c.body, digest(c.method + ' ' + c.target));
        s.take_over = c.take_over;
        s.deadline = now() + c.time_left;
        open_calls_.emplace(s.waiter.value,
                            open_call{std::move(c), std::move(hook)});
        machine(shard).submit(s, now());
        e = collect(shard);
    }
    apply(std::move(e));
}

/// Moves store operations to the workers' queue and takes out what the hooks
/// are to do.
service_ledger::implementation::effects
service_ledger::implementation::collect(unsigned shard)
{
    effects e;
    for (action& a : machine(shard).take_actions())
    {
        switch (a.kind)
        {
        case action_kind::read:
        case action_kind::write:
        case action_kind::write_segment:
            tasks_.push_back({shard, std::move(a)});
            break;
        case action_kind::run:
            e.runs.push_back({open_calls_.at(a.waiter.value).content, {}});
            break;
        case action_kind::answer:
        {
            auto it = open_calls_.find(a.waiter.value);
            e.hooks.push_back(std::move(it->second.hook));
            open_calls_.erase(it);
            e.actions.push_back(std::move(a));
            break;
        }
        case action_kind::forward:
            e.hooks.emplace_back();
            e.actions.push_back(std::move(a));
            break;
        }
    }
    return e;
}

void service_ledger::implementation::apply(effects e)
{
    for (const open_call& c : e.runs)
        run_call(c);
    for (std::size_t i = 0; i < e.actions.size(); ++i)
    {
        const action& a = e.actions[i];
        if (a.kind == action_kind::answer)
            e.hooks[i](a.answer);
        else if (options_.forward)
            options_.forward(a.owner_address, a.outcome);
    }
}

void service_ledger::implementation::run_call(const open_call& c)
{
    const call_key key = c.content.key;
    auto done = [weak = weak_from_this(), key](const run_result& result)
    {
        auto self = weak.lock();
        if (!self)
            return;
        effects e;
        {
            absl::MutexLock lock(&self->mutex_);
            const unsigned shard = shard_of(key);
            self->machine(shard).run_done(key, result);
            e = self->collect(shard);
        }
        self->apply(std::move(e));
    };
    options_.run(c.content, done);
}

void service_ledger::implementation::report_outcome(const call_record& outcome)
{
    absl::MutexLock lock(&mutex_);
    const unsigned shard = shard_of(outcome.call);
    machine(shard).outcome_reported(outcome);
    for (action& a : machine(shard).take_actions())
        tasks_.push_back({shard, std::move(a)});
}

std::vector<unsigned> service_ledger::implementation::owned_shards() const
{
    absl::MutexLock lock(&mutex_);
    std::vector<unsigned> shards;
    for (const auto& [shard, m] : machines_)
        if (m.owns())
            shards.push_back(shard);
    return shards;
}

void service_ledger::implementation::release()
{
    std::vector<effects> all;
    {
        absl::MutexLock lock(&mutex_);
        is_releasing_ = true;
        for (auto& [shard, m] : machines_)
        {
            m.release();
            all.push_back(collect(shard));
        }
    }
    for (effects& e : all)
        apply(std::move(e));
}

bool service_ledger::implementation::is_released() const
{
    absl::MutexLock lock(&mutex_);
    return is_releasing_ &&
           std::ranges::all_of(machines_, [](const auto& it)
                               { return it.second.is_released(); });
}

void service_ledger::implementation::work()
{
    while (std::optional<store_task> task = next_task())
        deliver(task->shard, perform(*task));
}

std::optional<store_task> service_ledger::implementation::next_task()
{
    absl::MutexLock lock(&mutex_);
    auto is_ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        return is_stopping_ || !tasks_.empty();
    };
    mutex_.Await(absl::Condition(&is_ready));
    if (is_stopping_)
        return std::nullopt;
    store_task task = std::move(tasks_.front());
    tasks_.pop_front();
    return task;
}

/// Spaces writes evenly at the permitted rate.
void service_ledger::implementation::wait_for_write_permit()
{
    const duration interval =
        duration(std::chrono::seconds(1)) / options_.max_writes_per_second;
    mono_time at;
    {
        absl::MutexLock lock(&mutex_);
        at = std::max(next_write_, now());
        next_write_ = at + interval;
    }
    std::this_thread::sleep_for(at - now());
}

store_outcome service_ledger::implementation::perform(const store_task& task)
{
    if (task.what.kind == action_kind::read)
        return read(task.shard);
    wait_for_write_permit();
    if (task.what.is_retry)
        std::this_thread::sleep_for(write_retry_wait);
    return write(task);
}

store_outcome service_ledger::implementation::read(unsigned shard)
{
    store_outcome outcome;
    outcome.is_read = true;
    try
    {
        const store::object o =
            store_.get(shard_object(options_.service, shard));
        outcome.version = o.version;
        if (o.version.value == 0)
            return outcome;
        outcome.record = parse_shard_record(o.value, options_.service);
        for (const segment_reference& s : outcome.record.segments)
        {
            const store::object segment =
                store_.get(segment_object(options_.service, shard, s.name));
            auto calls = parse_segment(segment.value, options_.service);
            std::ranges::move(calls, std::back_inserter(outcome.archived));
        }
    }
    catch (const error& ec)
    {
        // A record that cannot be read is as bad as one that is missing:
        // without it nothing may run.
        observe::log(observe::event::ledger_read_failed,
                     {{"service", options_.service.value},
                      {"shard", shard},
                      {"reason", ec.what()}});
        outcome.read_failed = true;
    }
    return outcome;
}

store_outcome service_ledger::implementation::write(const store_task& task)
{
    const bool is_segment = task.what.kind == action_kind::write_segment;
    const object_key key =
        is_segment
            ? segment_object(options_.service, task.shard, task.what.segment)
            : shard_object(options_.service, task.shard);
    store_outcome outcome;
    try
    {
        const store::put_result put =
            store_.put(key, task.what.value, task.what.expected);
        outcome.version = put.version;
        outcome.result = put.status == store::put_status::written
                             ? write_result::written
                             : write_result::conflict;
    }
    catch (const store::store_error& ec)
    {
        observe::log(observe::event::ledger_write_failed,
                     {{"service", options_.service.value},
                      {"shard", task.shard},
                      {"reason", ec.what()}});
        outcome.result = to_write_result(ec.failure());
    }
    return outcome;
}

void service_ledger::implementation::deliver(unsigned shard,
                                             store_outcome outcome)
{
    effects e;
    bool became_owner = false;
    const store_era era = store_.era();
    {
        absl::MutexLock lock(&mutex_);
        note_era(era);
        shard_machine& m = machine(shard);
        const bool was_owner = m.owns();
        if (!outcome.is_read)
            m.write_done(outcome.result, outcome.version, now());
        else if (outcome.read_failed)
            m.read_failed(now());
        else
            m.read_done(outcome.record, outcome.version,
                        std::move(outcome.archived), now(), unix_seconds());
        became_owner = !was_owner && m.owns();
        e = collect(shard);
    }
    if (became_owner)
        observe::log(observe::event::ledger_shard_taken,
                     {{"service", options_.service.value}, {"shard", shard}});
    apply(std::move(e));
}

void service_ledger::implementation::expire_loop()
{
    while (true)
    {
        {
            absl::MutexLock lock(&mutex_);
            mutex_.AwaitWithTimeout(absl::Condition(&is_stopping_),
                                    to_absl(expiry_interval));
            if (is_stopping_)
                return;
        }
        expire();
    }
}

void service_ledger::implementation::expire()
{
    std::vector<effects> all;
    const store_era era = store_.era();
    {
        absl::MutexLock lock(&mutex_);
        note_era(era);
        for (auto& [shard, m] : machines_)
        {
            m.expire(now(), unix_seconds());
            all.push_back(collect(shard));
        }
    }
    for (effects& e : all)
        apply(std::move(e));
}

service_ledger::service_ledger(store::object_store& store,
                               ledger_options options)
    : implementation_(
          std::make_shared<implementation>(store, std::move(options)))
{
    implementation_->start();
}

service_ledger::~service_ledger()
{
    implementation_->stop();
}

void service_ledger::submit(call c, answer_hook answer)
{
    implementation_->submit(std::move(c), std::move(answer));
}

void service_ledger::report_outcome(const call_record& outcome)
{
    implementation_->report_outcome(outcome);
}

std::vector<unsigned> service_ledger::owned_shards() const
{
    return implementation_->owned_shards();
}

void service_ledger::release()
{
    implementation_->release();
}

bool service_ledger::is_released() const
{
    return implementation_->is_released();
}

} // namespace poplar::ledger
