#include "agent/platform_keeper.hpp"

#include "control/assignments.hpp"

#include <algorithm>

namespace poplar::agent
{

platform_keeper::platform_keeper(store::object_store& store,
                                 keeper_options options, keeper_hooks hooks)
    : store_(store), options_(std::move(options)), hooks_(std::move(hooks)),
      process_(to_string(make_request_id())), thread_([this] { run(); })
{
}

platform_keeper::~platform_keeper()
{
    {
        absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
    }
    thread_.join();
}

void platform_keeper::run()
{
    duration wait = options_.check_interval;
    do
    {
        const bool holds = hold_slot();
        const bool is_well = read_assignment() && holds;
        if (is_well)
            wait = options_.check_interval;
        else if (was_well_)
            wait = options_.retry_interval;
        else
            wait = std::min(wait * 2, options_.longest_retry_interval);
        was_well_ = is_well;
    } while (!is_stopped_within(wait));
}

bool platform_keeper::hold_slot()
{
    if (is_superseded_)
        return true;
    try
    {
        if (!incarnation_)
        {
            incarnation_ = take_slot(store_, options_.instance,
                                     options_.address, process_);
            observe::log(observe::event::slot_taken,
                         {{"incarnation", incarnation_->value}});
        }
        agent_incarnation present = read_slot(store_, options_.instance);
        if (present < *incarnation_) // The store was restored from a copy.
        {
            hooks_.held({});
            incarnation_.reset();
            return hold_slot();
        }
        if (present > *incarnation_)
        {
            is_superseded_ = true;
            hooks_.held({});
            hooks_.superseded(present);
            return true;
        }
        hooks_.held(incarnation_);
        return true;
    }
    catch (const error& ec)
    {
        log_failure(observe::event::slot_uncertain, ec);
        hooks_.held({});
        return false;
    }
}

bool platform_keeper::read_assignment()
{
    if (has_assignment_)
        return true;
    try
    {
        const store::object o =
            store_.get(control::assignments_key(options_.group));
        hooks_.assigned(find_part(o, options_.instance));
        has_assignment_ = true;
        return true;
    }
    catch (const error& ec)
    {
        log_failure(observe::event::assignment_unread, ec);
        return false;
    }
}

void platform_keeper::log_failure(observe::event what, const error& ec)
{
    if (was_well_)
        observe::log(what, {{"reason", ec.what()}});
}

bool platform_keeper::is_stopped_within(duration d)
{
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&is_stopping_),
                            absl::Microseconds(d.count()));
    return is_stopping_;
}

std::optional<assignment> find_part(const store::object& o,
                                    const instance_id& instance)
{
    if (o.version.value == 0)
        return std::nullopt;
    const control::group_assignments all =
        control::parse_group_assignments(o.value);
    const control::assignment* part = control::find_assignment(all, instance);
    if (!part)
        return std::nullopt;
    assignment a;
    a.version = o.version;
    a.epoch = all.epoch;
    a.setup = {part->role, part->model, part->version, part->adapters};
    std::ranges::sort(a.setup.adapters);
    a.state = part->state;
    a.generation = all.generation;
    return a;
}

} // namespace poplar::agent
