/// Orders the number of upstreams of services from the platform, for each
/// failure domain.
#pragma once

#include "gateway/duty_lease.hpp"
#include "gateway/scaling_view.hpp"
#include "net/http_client.hpp"
#include "platform/duties.hpp"

#include <functional>
#include <map>
#include <tuple>

namespace poplar::gateway
{

/// What the duty needs to know of the gateway's loop.
struct scaling_view
{
    std::vector<scaled_service> services;
    /// False if this gateway hears of too few others to know the load.
    bool is_complete = true;
    /// Time since another gateway last announced that it holds the lease, or
    /// since the start of this process.
    duration holder_silence{};
    std::size_t index = 0;    ///< Of this gateway among the live ones.
    std::size_t gateways = 1; ///< Live ones, this one included.
};

struct scaling_duty_options
{
    std::string holder; ///< Name of this instance.
    /// Limit on the calls of all gateways for all duties.
    double calls_per_second = 50;
    /// True if no other duty acquires the lease.
    bool acquires_lease = false;
    /// Called on the thread of the duties.
    std::function<scaling_view()> view;
    std::function<void(bool is_holder)> announce = [](bool) {
    };
    clock_source clock = now;
};

/// Sends an order to the platform and waits for the answer.
using scale_call = std::function<net::client_result(
    const platform::duty_credentials&, const platform::scale_order&)>;

/// Used on the thread of the duties only. Every gateway follows the load; only
/// the holder of the lease sends orders.
class scaling_duty
{
public:
    explicit scaling_duty(scaling_duty_options options);

    /// Does what is due. To be called at least every half second; throws
    /// store_error.
    void step(duty_lease& lease, const scale_call& call);

private:
    struct subject
    {
        service_id service;
        failure_domain_id failure_domain;
        bool operator<(const subject& other) const
        {
            return std::tie(service.value, failure_domain.value) <
                   std::tie(other.service.value, other.failure_domain.value);
        }
    };

    struct subject_state
    {
        policy::scaling_plan plan;
        policy::scaling_load load;
        unsigned wanted = 0;
        mono_time first_seen{};
        /// Number that the platform confirmed to this process while it held
        /// the lease.
        std::optional<unsigned> confirmed;
        /// The last order was not answered with success: it may have arrived.
        bool is_unconfirmed = false;
        mono_time retry_at{};
        duration retry_delay{};
    };

    void update(const scaling_view& v);
    bool is_due(const subject_state& s) const;
    bool has_due() const;
    /// Whether this gateway holds the lease, or has just acquired it.
    bool hold(duty_lease& lease, const scaling_view& v);
    /// Renews the lease if another gateway announces that it holds it: this one
    /// may have been suspended meanwhile.
    void check_holder(duty_lease& lease, const scaling_view& v);
    bool follow_due();
    void send_due(duty_lease& lease, const scale_call& call);
    /// False if no further calls should be made now.
    bool send(const subject& of, subject_state& s, fencing_token fencing,
              duty_lease& lease, const scale_call& call);
    void note_failure(subject_state& s, const net::client_result& result,
                      duty_lease& lease);
    void refill_budget();
    void forget_orders();
    void set_announced(bool is_holder);

    const scaling_duty_options options_;
    std::map<subject, subject_state> subjects_;
    double budget_; ///< Calls that may be made at once.
    mono_time refilled_at_{};
    mono_time next_acquire_{};
    std::optional<mono_time> due_since_; ///< An order has been due since then.
    /// Calls wait until then after one that the API as a whole did not answer.
    mono_time paused_until_{};
    duration pause_{};
    unsigned unreachable_ = 0; ///< Failed calls in a row.
    bool is_announced_ = false;
};

} // namespace poplar::gateway
