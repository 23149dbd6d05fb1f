/// Work of a gateway that is not tied to a request: its registration for the
/// other gateways, and orders to engines.
#pragma once

#include "gateway/fleet.hpp"
#include "gateway/order_lease.hpp"
#include "net/http_client.hpp"
#include "policy/stage_plan.hpp"

#include <absl/synchronization/mutex.h>
#include <map>
#include <thread>

namespace poplar::gateway
{

/// An engine as the loop knows it.
struct engine_snapshot
{
    upstream_record record;
    unsigned runs = 0;    ///< Put there by all gateways.
    bool may_send = true; ///< False while it asked for no requests.
};

struct service_snapshot
{
    std::vector<engine_snapshot> engines;
    policy::stage_demand demand; ///< Of all gateways' callers.
};

struct engine_control_options
{
    instance_id instance;
    ip_address peer;
    /// Place of this gateway among all, from 0; the first one that lives gives
    /// the orders.
    std::function<std::size_t()> rank = []
    {
        return std::size_t(0);
    };
    duration order_lease = std::chrono::seconds(3);
    policy::stage_plan_settings stages;
};

/// Key prefix of the gateways' registrations.
inline constexpr const char* gateway_prefix = "gateways/";

/// Value of a registration, and its address; the latter throws parse_error.
std::string encode_registration(const ip_address& peer);
ip_address decode_registration(const std::string& value);

class engine_control
{
public:
    using snapshot_source =
        std::function<std::map<service_id, service_snapshot>()>;

    /// `snapshot` is called on the control's thread.
    engine_control(store::object_store& store, engine_control_options options,
                   snapshot_source snapshot);
    /// Ends the thread and removes the registration.
    ~engine_control();
    /// Starts nothing more; the registration stays.
    void end_orders();
    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;

private:
    /// An engine that was ordered to change, until its entry shows it.
    struct pending_order
    {
        engine_stage stage = engine_stage::none;
        mono_time until{};
    };

    void run();
    bool pause(duration d);
    void keep_registered();
    void remove_registration();
    void keep_stages();
    void keep_stages_of(const service_id& service,
                        const service_snapshot& seen);
    void send_order(const engine_snapshot& engine, engine_stage stage);
    /// Orders that the engine has accepted; empty when it does not answer or
    /// is changing.
    std::optional<std::uint64_t> accepted_orders(const upstream_record& engine);

    store::object_store& store_;
    const engine_control_options options_;
    const snapshot_source snapshot_;
    net::http_client client_;
    order_lease lease_;
    /// Of the registration; 0: there is none.
    object_version registered_;
    std::map<service_id, unsigned> planned_;
    std::map<service_id, policy::in_flight_average> runs_;
    std::map<service_id, std::size_t> seen_engines_;
    std::map<service_id, mono_time> steady_since_;
    /// Since when changes have been due.
    std::map<service_id, mono_time> wanted_since_;
    std::map<upstream_id, pending_order> pending_;

    absl::Mutex mutex_;
    bool is_ending_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace poplar::gateway
