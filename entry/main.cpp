#include "daemon/daemon.hpp"
#include "entry/adaptive_policy.hpp"
#include "entry/control_bridge.hpp"
#include "observe/log.hpp"

namespace poplar::entry
{

namespace
{

std::unique_ptr<dispatch_policy> make_policy(const entry_settings& s)
{
    adaptive_policy_options o;
    o.speed = s.speed;
    o.failure_domain = s.failure_domain;
    o.retries.per_first_attempt = s.limits.retry_ratio;
    o.seed = make_request_id().low;
    return make_adaptive_policy(std::move(o));
}

daemon::exit_code serve(settings::reader& root, daemon::stop_signal& stop)
{
    const entry_settings s = parse_entry_settings(root);
    const std::unique_ptr<store::object_store> store =
        store::make_http_store({s.platform});
    control_bridge control(s.instance);
    entry e(s, *store, make_policy(s), control.hooks_for_entry());
    control.start(e, *store, s);
    daemon::print_listening("poplar-entry", e.http_address(), e.inner_address(),
                            e.admin_address());
    observe::log(observe::event::started,
                 {{"admin", to_string(e.admin_address())}});
    stop.wait();
    observe::log(observe::event::shutdown_started);
    control.stop();
    e.drain();
    observe::log(observe::event::shutdown_finished);
    return daemon::exit_code::success;
}

} // namespace

} // namespace poplar::entry

int main(int argc, char** argv)
{
    const poplar::daemon::program p{
        "poplar-entry", "callers' HTTP, routing and admission",
        [](poplar::settings::reader& root)
        { poplar::entry::parse_entry_settings(root); },
        [](poplar::settings::reader& root, poplar::daemon::stop_signal& stop)
        {
            return poplar::entry::serve(root, stop);
        }};
    return poplar::daemon::run(p, argc, argv);
}
