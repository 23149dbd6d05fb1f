/// Stand-in for an engine that serves a language model.
#include "daemon/daemon.hpp"
#include "standin/engine/api.hpp"

namespace
{

using poplar::daemon::exit_code;

exit_code serve(poplar::settings::reader& all,
                poplar::daemon::stop_signal& stop)
{
    const auto settings = poplar::standin::parse_engine_settings(all);
    poplar::standin::engine_api api(settings);
    poplar::net::http_server server(
        {settings.listen}, [&api](poplar::net::http_request request,
                                  poplar::net::responder_ptr answer)
        { api.handle(std::move(request), std::move(answer)); });
    poplar::daemon::print_listening("standin-engine", server.address(), {});
    stop.wait();
    return exit_code::success;
}

} // namespace

int main(int argc, char** argv)
{
    const poplar::daemon::program p{
        "standin-engine", "stand-in for an engine",
        [](poplar::settings::reader& all)
        { poplar::standin::parse_engine_settings(all); },
        serve};
    return poplar::daemon::run(p, argc, argv);
}
