// Requests that crash upstreams, as recorded in the store.
#include "gateway/fatal_request_record.hpp"
#include "gateway/gateway.hpp"
#include "observe/log.hpp"

#include <boost/asio/post.hpp>

namespace poplar::gateway
{

namespace
{

using observe::event;

/// Records come in groups, since one crash implicates several requests.
/// Gateways learn of single crashes from each other; a record may be later.
constexpr duration record_gather_time = std::chrono::milliseconds(500);

} // namespace

void gateway::start_fatal_request_sharing(store::watcher_options options)
{
    crash_hooks on_crash;
    on_crash.suspected = [this](std::uint64_t request, auto crashes)
    {
        record_writer_->change(
            fatal_request_key(request),
            [request, crashes = std::move(crashes)](const store::object& record)
            { return add_crashes(record, request, crashes); });
    };
    on_crash.cleared = [this](std::uint64_t request)
    {
        record_writer_->change(fatal_request_key(request),
                               [](const store::object&) -> record_change {
                                   return {record_change::action::remove, ""};
                               });
    };
    state_.upstreams.set_crash_hooks(std::move(on_crash));
    options.prefix = fatal_request_prefix;
    options.gather = record_gather_time;
    store::watcher_hooks hooks;
    hooks.changed = [this](const store::object& o)
    {
        asio::post(loop_, [this, o] { on_fatal_request(o); });
    };
    hooks.connection = [this](bool connected)
    {
        if (connected)
            asio::post(loop_, [this] { are_fatal_requests_known_ = true; });
    };
    fatal_request_watcher_ =
        std::make_unique<store::watcher>(store_, options, hooks);
}

void gateway::on_fatal_request(const store::object& o)
{
    try
    {
        const std::uint64_t request = parse_fatal_request_key(o.key);
        if (o.version == object_version())
            return state_.upstreams.forget_crashes(request);
        state_.upstreams.apply_reported_crashes(
            decode_fatal_request(request, o.value), {});
    }
    catch (const parse_error& ec)
    {
        observe::log(event::gateway_store_call_failed,
                     {{"object", o.key.value}, {"reason", ec.what()}});
    }
}

} // namespace poplar::gateway
