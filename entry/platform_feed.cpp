#include "entry/platform_feed.hpp"

#include "control/assignments.hpp"
#include "observe/log.hpp"

#include <utility>

namespace poplar::entry
{

namespace
{

store::watcher_options watch_options(const std::string& prefix, duration poll)
{
    store::watcher_options options;
    options.prefix = prefix;
    options.poll = poll;
    return options;
}

} // namespace

platform_feed::platform_feed(store::object_store& store, live_config& config,
                             platform_feed_options options,
                             platform_hooks hooks)
    : store_(store), config_(config), options_(options),
      hooks_(std::move(hooks)),
      sheet_watcher_(store, watch_options(sheet_prefix, options.watch_timeout),
                     {[this](const store::object& o) { take_sheet(o); }, {}}),
      assignments_watcher_(
          store,
          watch_options(control::assignments_prefix, options.watch_timeout),
          {[this](const store::object& o) { take_assignments(o); }, {}}),
      poller_([this] { run_instance_poll(); })
{
}

platform_feed::~platform_feed()
{
    {
        absl::MutexLock lock(&mutex_);
        is_stopping_ = true;
    }
    store_.stop_watches();
    poller_.join();
}

void platform_feed::take_sheet(const store::object& o)
{
    try
    {
        if (!config_.take_sheet(o))
            return;
    }
    catch (const error& ec)
    {
        return observe::log(
            observe::event::entry_sheet_refused,
            {{"version", o.version.value}, {"reason", ec.what()}});
    }
    const sheet_in_force current = config_.current();
    observe::log(observe::event::entry_sheet_in_force,
                 {{"generation", current.generation.value}});
    hooks_.sheet_changed(current);
}

void platform_feed::take_assignments(const store::object& o)
{
    try
    {
        if (const auto accepted = config_.take_assignments(o))
            hooks_.assignments_changed(*accepted);
    }
    catch (const error& ec)
    {
        observe::log(observe::event::entry_assignments_refused,
                     {{"key", o.key.value},
                      {"version", o.version.value},
                      {"reason", ec.what()}});
    }
}

void platform_feed::run_instance_poll()
{
    do
        poll_instances();
    while (wait_for_next_poll());
}

void platform_feed::poll_instances()
{
    try
    {
        hooks_.listed(store_.instances());
        if (!std::exchange(is_list_available_, true))
            observe::log(observe::event::entry_instances_available);
    }
    catch (const store::store_error& ec)
    {
        if (std::exchange(is_list_available_, false))
            observe::log(observe::event::entry_instances_unavailable,
                         {{"reason", ec.what()}});
    }
}

bool platform_feed::wait_for_next_poll()
{
    absl::MutexLock lock(&mutex_);
    return !mutex_.AwaitWithTimeout(
        absl::Condition(&is_stopping_),
        absl::Microseconds(options_.instance_poll.count()));
}

} // namespace poplar::entry
