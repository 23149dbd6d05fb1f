/// Stand-in for a plain service.
#include "daemon/daemon.hpp"
#include "standin/service/service.hpp"

namespace
{

using poplar::daemon::exit_code;

exit_code serve(poplar::settings::reader& all,
                poplar::daemon::stop_signal& stop)
{
    const auto settings = poplar::standin::parse_service_settings(all);
    poplar::standin::service service(settings);
    poplar::net::http_server server(
        {settings.listen}, [&service](poplar::net::http_request request,
                                      poplar::net::responder_ptr answer)
        { service.handle(std::move(request), std::move(answer)); });
    poplar::daemon::print_listening("standin-service", server.address(), {});
    stop.wait();
    return exit_code::success;
}

} // namespace

int main(int argc, char** argv)
{
    const poplar::daemon::program p{
        "standin-service", "stand-in for a plain service",
        [](poplar::settings::reader& all)
        { poplar::standin::parse_service_settings(all); },
        serve};
    return poplar::daemon::run(p, argc, argv);
}
