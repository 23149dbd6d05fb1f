/// Stand-in for the platform: object API and instance list in memory.
#include "daemon/daemon.hpp"
#include "standin/platform/api.hpp"

namespace
{

using poplar::daemon::exit_code;
using poplar::standin_platform::parse_settings;
using poplar::standin_platform::platform_api;

exit_code serve(poplar::settings::reader& all,
                poplar::daemon::stop_signal& stop)
{
    const auto settings = parse_settings(all);
    platform_api api(settings);
    poplar::daemon::admin_server server(
        settings.listen, [&api](const poplar::net::http_request& request,
                                const poplar::net::responder_ptr& answer)
        { api.handle(request, answer); });
    server.set_ready(true, "serving");
    poplar::daemon::print_listening("standin-platform", server.address(), {});
    stop.wait();
    return exit_code::success;
}

} // namespace

int main(int argc, char** argv)
{
    const poplar::daemon::program p{
        "standin-platform", "stand-in for the platform's object API",
        [](poplar::settings::reader& all) { parse_settings(all); }, serve};
    return poplar::daemon::run(p, argc, argv);
}
