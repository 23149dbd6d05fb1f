// poplar-agent: the process beside one upstream.
#include "agent/agent.hpp"
#include "observe/log.hpp"

namespace poplar::agent
{

namespace
{

constexpr duration superseded_check = std::chrono::milliseconds(200);

daemon::exit_code serve(settings::reader& all, daemon::stop_signal& stop)
{
    const agent_settings settings = parse_settings(all);
    const auto store = store::make_http_store({settings.platform});
    agent a(settings, *store);
    daemon::print_listening("poplar-agent", {}, a.inner_address(),
                            a.admin_address());
    observe::log(observe::event::started,
                 {{"instance", settings.instance.value}});
    while (!stop.wait_for(superseded_check) && !a.is_superseded())
    {
    }
    observe::log(observe::event::shutdown_started);
    a.shut_down();
    observe::log(observe::event::shutdown_finished);
    return daemon::exit_code::success;
}

daemon::program make_program()
{
    daemon::program p;
    p.name = "poplar-agent";
    p.description = "serves one upstream to the entries";
    p.check = [](settings::reader& all)
    {
        parse_settings(all);
    };
    p.serve = serve;
    return p;
}

} // namespace

int run(int argc, char** argv)
{
    return daemon::run(make_program(), argc, argv);
}

} // namespace poplar::agent

int main(int argc, char** argv)
{
    return poplar::agent::run(argc, argv);
}
