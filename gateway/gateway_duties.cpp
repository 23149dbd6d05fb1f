#include "gateway/gateway.hpp"
#include "platform/duties.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace poplar::gateway
{

namespace
{

/// Runs `f` on the loop and waits for its result.
template <class F>
auto run_on(asio::io_context& loop, F f)
{
    return asio::post(loop, asio::use_future(std::move(f))).get();
}

} // namespace

void gateway::add_duties(engine_control_options& options)
{
    const auto& platform_api = state_.settings.platform_api;
    if (!platform_api)
        return;
    const platform::duty_set duties =
        platform::parse_duties(platform_api->duties);
    if (!duties.usage)
        return;
    run_on(loop_, [&] { usage_.start(platform_api->usage_window); });
    const auto duty = std::make_shared<usage_duty>(make_usage_duty_options());
    options.duties.emplace_back(
        [duty](duty_lease& lease, net::http_client& client)
        {
            duty->step(lease, [&client](net::client_request request)
                       { return client.fetch(std::move(request)); });
        });
    options.on_stopped = [this]
    {
        asio::post(loop_, [this] { usage_.set_holder(false, std::nullopt); });
    };
    options.is_held_elsewhere = [this]
    {
        return run_on(loop_, [this] { return usage_.is_held_elsewhere(); });
    };
}

usage_duty_options gateway::make_usage_duty_options()
{
    const platform_api_settings& platform_api = *state_.settings.platform_api;
    usage_duty_options o;
    o.platform_api = platform_api.address;
    o.holder = state_.settings.instance.value;
    o.window = platform_api.usage_window;
    o.view = [this]
    {
        return run_on(loop_, [this] { return usage_.view(); });
    };
    o.settle_time = [this]
    {
        return run_on(loop_, [this] { return usage_.settle_time(); });
    };
    o.totals = [this](policy::window_number first, policy::window_number last)
    {
        return run_on(loop_, [=, this] { return usage_.totals(first, last); });
    };
    o.announce = [this](bool is_holder,
                        std::optional<policy::window_number> fixed_through)
    {
        asio::post(loop_,
                   [=, this] { usage_.set_holder(is_holder, fixed_through); });
    };
    return o;
}

} // namespace poplar::gateway
