#include "daemon/daemon.hpp"
#include "gateway/gateway.hpp"
#include "observe/log.hpp"
#include "platform/objects.hpp"

#include <csignal>
#include <fstream>
#include <iterator>

namespace poplar::gateway
{

namespace
{

/// Interval at which the settings file is checked for changes.
constexpr duration settings_poll_interval = std::chrono::seconds(1);

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

void reload(gateway& g, const std::string& text, const std::string& file)
{
    try
    {
        settings::reader all = settings::reader::from_text(text, file);
        all.table("log").text("level", "info");
        g.apply(parse_gateway_settings(all));
        observe::log(observe::event::settings_reloaded, {{"file", file}});
    }
    catch (const settings::settings_error& ec)
    {
        observe::log(observe::event::settings_refused,
                     {{"file", file}, {"reason", ec.what()}});
    }
}

/// Polls the settings file and reloads it on a change, so that no SIGHUP is
/// needed.
void serve_until_stopped(daemon::stop_signal& stop, gateway& g,
                         const std::string& file)
{
    std::string text = read_file(file);
    while (!stop.wait_for(settings_poll_interval))
    {
        std::string new_text = read_file(file);
        if (new_text == text || new_text.empty())
            continue;
        text = std::move(new_text);
        reload(g, text, file);
    }
}

daemon::exit_code serve(settings::reader& all, daemon::stop_signal& stop)
{
    configure_allocator();
    const gateway_settings s = parse_gateway_settings(all);
    store::http_store_options options{s.store};
    options.watch_margin = policy::from_seconds(
        policy::seconds(s.timeouts.drain) * watch_margin_share);
    const std::unique_ptr<store::object_store> store =
        store::make_http_store(options, platform::make_object_dialect());
    gateway g(s, *store);
    daemon::print_listening("poplar-gateway", g.address(), {},
                            g.admin_address());
    observe::log(observe::event::started,
                 {{"instance", s.instance.value},
                  {"admin", to_string(g.admin_address())}});
    serve_until_stopped(stop, g, all.file());
    observe::log(observe::event::shutdown_started);
    g.drain();
    observe::log(observe::event::shutdown_finished);
    return daemon::exit_code::success;
}

} // namespace

} // namespace poplar::gateway

int main(int argc, char** argv)
{
    std::signal(SIGHUP, SIG_IGN);
    const poplar::daemon::program p{
        "poplar-gateway", "HTTP gateway for upstreams without agents",
        [](poplar::settings::reader& all)
        { poplar::gateway::parse_gateway_settings(all); },
        [](poplar::settings::reader& all, poplar::daemon::stop_signal& stop)
        { return poplar::gateway::serve(all, stop); },
        poplar::observe::log_output::standard_output};
    return poplar::daemon::run(p, argc, argv);
}
