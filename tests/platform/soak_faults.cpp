#include "tests/platform/odd_entries.hpp"
#include "tests/platform/soak_world.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::relay;

namespace
{

/// Until every process has caught up with the last fault.
constexpr duration calm_time = milliseconds(3500);
/// Until every process must act by what was written.
constexpr duration acting_time = milliseconds(2500);

} // namespace

void soak_world::inject(const planned_fault& f)
{
    if (f.kind <= fault_kind::delay_link)
        inject_on_link(f);
    else if (f.kind <= fault_kind::end_gateway)
        inject_on_gateway(f);
    else
        inject_on_store(f);
    change_limits();
}

/// Now and then begins or ends the limits on the requests per second that the
/// upstreams announce.
void soak_world::change_limits()
{
    for (std::atomic<unsigned>& it : limits_)
        if (limit_random_(10) == 0)
            it = limit_random_(2) == 0 ? 0 : 1 + limit_random_(20);
}

std::pair<fault_place, relay*> soak_world::link_at(unsigned target)
{
    const std::size_t n = upstreams_.size();
    const std::size_t i = target % (2 * n + 1);
    if (i == 2 * n)
        return {"store", store_link_.get()};
    if (i < n)
        return {"u" + std::to_string(i), &upstreams_[i]->link};
    return {"e" + std::to_string(i - n), &engines_[i - n]->link};
}

void soak_world::inject_on_link(const planned_fault& f)
{
    const auto [place, link] = link_at(f.target);
    faults.begin(place);
    // Otherwise a connection could go on with a gap in its bytes.
    if (dropping_.erase(place) > 0)
        link->silence_open_connections();
    if (f.kind == fault_kind::drop_to_target ||
        f.kind == fault_kind::drop_to_client)
        dropping_.insert(place);
    switch (f.kind)
    {
    case fault_kind::cut_link:
        return link->cut(f.amount % 2 == 0);
    case fault_kind::silence_link:
        return link->silence_open_connections();
    case fault_kind::drop_to_target:
        return link->set_faults({.drop_to_target = true});
    case fault_kind::drop_to_client:
        return link->set_faults({.drop_to_client = true});
    default:
        return link->set_faults({.delay = milliseconds(f.amount % 80)});
    }
}

void soak_world::inject_on_gateway(const planned_fault& f)
{
    const std::size_t i = f.target % gateways_.size();
    const std::string place = "g" + std::to_string(i);
    gateway_slot& slot = gateways_.at(i);
    if (f.kind == fault_kind::end_gateway)
    {
        if (slot.is_ending)
            return slot.process->terminate();
        const std::lock_guard lock(mutex_);
        slot.terminated_at = now();
        slot.is_ending = true;
        return slot.process->terminate();
    }
    if (!slot.process->is_running())
        return;
    faults.begin(place);
    if (f.kind == fault_kind::kill_gateway)
    {
        slot.process->kill();
        return start_gateway(i);
    }
    slot.process->pause();
    std::this_thread::sleep_for(milliseconds(f.amount % 400));
    slot.process->proceed();
    faults.end(place);
}

void soak_world::inject_on_store(const planned_fault& f)
{
    switch (f.kind)
    {
    case fault_kind::add_route:
        ++added_routes_;
        put_configuration();
        return;
    case fault_kind::leave:
        return leave(f);
    case fault_kind::copy_store:
        return copies_.push_back(store_.make_copy());
    case fault_kind::restore_store:
        return restore_store(f);
    case fault_kind::odd_entry:
        return put_odd_entry(f);
    case fault_kind::clear:
        return clear_faults();
    case fault_kind::stop_store:
        set_store_down(true);
        [[fallthrough]];
    default:
        put_configuration();
    }
}

void soak_world::leave(const planned_fault& f)
{
    {
        const std::lock_guard lock(mutex_);
        leaving_upstream& u = *leaving_.back();
        u.state = f.amount % 2 == 0 ? "draining" : "removed";
        u.written_at = write_leaving(u) ? now() : mono_time::max();
    }
    add_leaving();
}

/// The text is not put(), which would have to parse it.
void soak_world::put_odd_entry(const planned_fault& f)
{
    if (is_store_down_)
        return;
    const auto all = platform::odd_entries();
    const object_key key("servers/odd");
    store_.put(key, all.at(f.amount % all.size()).text,
               store_.get(key).version);
}

/// The copy may lack an entry, and later writes may have given out its
/// revisions again before anyone sees it.
void soak_world::restore_store(const planned_fault& f)
{
    set_store_down(false);
    store::memory_store changed;
    changed.restore(copies_.at(f.target % copies_.size()));
    const object_key missing("servers/u" + std::to_string(f.amount % 3));
    if (f.amount % 2 == 0)
        changed.remove(missing, changed.get(missing).version);
    for (unsigned n = 0; n < f.amount % 30; ++n)
        changed.put(object_key("other/" + std::to_string(n)), "1",
                    object_version());
    store_.restore(changed.make_copy());
    routes_written_at_ = mono_time::max();
    write_again_at_ = now() + milliseconds(f.amount * 2);
    const std::lock_guard lock(mutex_);
    for (auto& it : leaving_)
        it->written_at = mono_time::max();
}

void soak_world::write_again()
{
    if (is_store_down_)
        return;
    register_all();
    put_configuration();
    write_again_at_ = mono_time::max();
    const std::lock_guard lock(mutex_);
    for (auto& it : leaving_)
        if (write_leaving(*it))
            it->written_at = now();
}

void soak_world::clear_faults()
{
    set_store_down(false);
    for (std::atomic<unsigned>& it : limits_)
        it = 0;
    for (unsigned i = 0; i <= 2 * upstreams_.size(); ++i)
    {
        const auto [place, link] = link_at(i);
        faults.begin(place); // The open connections end.
        link->cut(false);
        link->set_faults({});
        faults.end(place);
    }
    dropping_.clear();
    write_again();
}

void soak_world::restore_in_calm(const planned_fault& f)
{
    clear_faults();
    put_odd_entry(f);
    const unsigned served_before = executions.served();
    wait(calm_time);
    copies_ = {store_.make_copy()};
    leave(f);
    ++added_routes_;
    put_configuration();
    wait(acting_time);
    const auto must_act = [this](const gateway_slot& it)
    {
        return it.informed == it.number && it.known_routes == added_routes_;
    };
    EXPECT_TRUE(std::ranges::any_of(gateways_, must_act))
        << "no process is held to what was written";
    EXPECT_GT(executions.served(), served_before + 20)
        << "beside odd entry " << f.amount % platform::odd_entries().size();
    restore_store(f);
    // One process that knew the state before has to run on.
    if (gateways_.size() > 1)
        inject_on_gateway({fault_kind::end_gateway, f.target, 0, 0});
    wait(milliseconds(2 * f.amount) + acting_time);
}

} // namespace poplar::gateway
