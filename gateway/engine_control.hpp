/// Background work of a gateway: keeps its registration for peer gateways in
/// the store, orders engines to change stage as demand changes, and carries out
/// the other duties that one gateway has at a time.
#pragma once

#include "gateway/duty_lease.hpp"
#include "gateway/fleet.hpp"
#include "net/http_client.hpp"
#include "policy/stage_plan.hpp"

#include <absl/synchronization/mutex.h>
#include <map>
#include <thread>

namespace poplar::gateway
{

/// State of an engine, copied from the gateway's event loop.
struct engine_snapshot
{
    upstream_record record;
    unsigned in_flight = 0;       ///< Requests placed by all gateways.
    bool accepts_requests = true; ///< False while paused or leaving.
};

/// Engines of a service, with the demand for it.
struct service_snapshot
{
    std::vector<engine_snapshot> engines;
    policy::stage_demand demand; ///< Demand of all gateways' callers.
};

/// Does what is due of a duty; called on the control's thread at least every
/// half second. Throws store_error.
using duty_step = std::function<void(duty_lease&, net::http_client&)>;

struct engine_control_options
{
    instance_id instance;
    ip_address peer; ///< Address at which peers send load reports.
    /// Registered with the address; empty if no peer needs it.
    failure_domain_id failure_domain;
    /// Index of this gateway among the registered ones, from 0. The first live
    /// one gives the orders; each later one waits longer before it takes over.
    std::function<std::size_t()> gateway_index = []
    {
        return std::size_t(0);
    };
    /// Called on the control's thread when an engine announced its shutdown in
    /// the answer to a call sent at `sent`.
    std::function<void(const upstream_record& engine, mono_time sent)>
        on_leaving = [](const upstream_record&, mono_time) {
        };
    /// Least time between the orders of two successive lease holders.
    duration order_handover_gap = std::chrono::seconds(3);
    policy::stage_plan_settings stages;
    std::vector<duty_step> duties;
    /// Called on the control's thread at its end: another gateway takes over.
    std::function<void()> on_stopped = [] {
    };
    /// True if another live gateway holds the lease, which then gives the
    /// orders.
    std::function<bool()> is_held_elsewhere = []
    {
        return false;
    };
};

/// Key prefix of the gateways' registrations.
inline constexpr const char* gateway_prefix = "gateways/";

/// Registration of a gateway for its peers.
struct gateway_registration
{
    ip_address peer;                  ///< Address for load reports.
    failure_domain_id failure_domain; ///< Empty if not stated.
};

/// Encodes and decodes the value of a registration. Decoding throws
/// parse_error.
std::string encode_registration(const gateway_registration& registration);
gateway_registration decode_registration(const std::string& value);

/// Runs the background work on a thread of its own.
class engine_control
{
public:
    using snapshot_source =
        std::function<std::map<service_id, service_snapshot>()>;

    /// `snapshot` is called on the control's thread.
    engine_control(store::object_store& store, engine_control_options options,
                   snapshot_source snapshot);
    /// Stops the thread and removes the registration.
    ~engine_control();
    /// Makes the thread stop after its current step; does not wait. The
    /// registration stays.
    void stop_orders();
    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;

private:
    /// An order that was sent to an engine and that its entry may not show yet.
    struct pending_order
    {
        engine_stage stage = engine_stage::none;
        mono_time expires_at{};
    };

    void run();
    void step_duties();
    bool is_ending() const;
    /// Waits for `d`; false if the control is stopping.
    bool wait_for(duration d);
    void ensure_registered();
    void remove_registration();
    void adjust_stages();
    void adjust_service_stages(const service_id& service,
                               const service_snapshot& service_state);
    void send_order(const engine_snapshot& engine, engine_stage stage);
    /// Number of orders that the engine has accepted, as it reports; empty if
    /// it does not answer or is changing stage.
    std::optional<std::uint64_t> accepted_orders(const upstream_record& engine);

    store::object_store& store_;
    const engine_control_options options_;
    const snapshot_source snapshot_;
    net::http_client client_;
    duty_lease lease_;
    /// Version of the registration; 0 if there is none.
    object_version registration_version_;
    /// Number of prefill engines in the last plan that this gateway ordered.
    std::map<service_id, unsigned> planned_prefill_;
    /// Average number of decode engines that the present streams keep busy.
    std::map<service_id, policy::in_flight_average> average_busy_engines_;
    std::map<service_id, std::size_t> engine_counts_;
    /// Time since which the number of engines has not changed.
    std::map<service_id, mono_time> unchanged_since_;
    /// Time since which stage changes have been due.
    std::map<service_id, mono_time> changes_due_since_;
    std::map<upstream_id, pending_order> pending_;

    mono_time duties_stepped_at_{};

    mutable absl::Mutex mutex_;
    bool is_ending_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace poplar::gateway
