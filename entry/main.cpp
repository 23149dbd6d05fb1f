#include "daemon/daemon.hpp"
#include "entry/entry.hpp"
#include "observe/log.hpp"

namespace poplar::entry
{

namespace
{

daemon::exit_code serve(settings::reader& all, daemon::stop_signal& stop)
{
    const entry_settings s = parse_entry_settings(all);
    const std::unique_ptr<platform::object_store> store =
        platform::make_http_store({s.platform});
    entry e(
        s, *store,
        make_basic_policy({s.limits.max_open_requests, s.limits.retry_ratio}));
    daemon::print_listening("poplar-entry", e.http_address(),
                            e.inner_address());
    observe::log(observe::event::started,
                 {{"admin", to_string(e.admin_address())}});
    stop.wait();
    observe::log(observe::event::shutdown_started);
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
        [](poplar::settings::reader& all)
        { poplar::entry::parse_entry_settings(all); },
        [](poplar::settings::reader& all, poplar::daemon::stop_signal& stop)
        {
            return poplar::entry::serve(all, stop);
        }};
    return poplar::daemon::run(p, argc, argv);
}
