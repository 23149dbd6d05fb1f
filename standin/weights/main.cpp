/// Stand-in for the weight store: GET /weights/MODEL/VERSION, rate limited.
#include "daemon/daemon.hpp"
#include "standin/common/json.hpp"
#include "standin/weights/store.hpp"

namespace
{

using poplar::daemon::exit_code;
using poplar::standin::weight_store;

exit_code serve(poplar::settings::reader& all,
                poplar::daemon::stop_signal& stop)
{
    const auto settings = poplar::standin::parse_weight_settings(all);
    weight_store store(settings);
    poplar::net::http_server server(
        {settings.listen}, [&store](const poplar::net::http_request& request,
                                    const poplar::net::responder_ptr& answer)
        { store.handle(request, answer); });
    poplar::daemon::print_listening("standin-weights", server.address(), {});
    stop.wait();
    return exit_code::success;
}

} // namespace

int main(int argc, char** argv)
{
    const poplar::daemon::program p{
        "standin-weights", "stand-in for the weight store",
        [](poplar::settings::reader& all)
        { poplar::standin::parse_weight_settings(all); },
        serve};
    return poplar::daemon::run(p, argc, argv);
}
