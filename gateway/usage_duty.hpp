/// Reports the usage of client accounts to the platform, once for each window.
#pragma once

#include "gateway/duty_lease.hpp"
#include "gateway/usage_exchange.hpp"
#include "net/http_client.hpp"
#include "policy/usage_plan.hpp"

#include <functional>
#include <map>
#include <set>

namespace poplar::gateway
{

struct usage_duty_options
{
    ip_address platform_api;
    std::string holder; ///< Name of this instance.
    duration window = std::chrono::seconds(5);
    /// Called on the thread of the duties; they read the state of the gateway's
    /// loop.
    std::function<usage_view()> view;
    std::function<duration()> settle_time;
    std::function<std::map<policy::window_number, policy::account_counts>(
        policy::window_number first, policy::window_number last)>
        totals;
    std::function<void(bool is_holder,
                       std::optional<policy::window_number> fixed_through)>
        announce;
    clock_source clock = now;
};

/// Makes a call to the platform's API and waits for its answer.
using platform_call = std::function<net::client_result(net::client_request)>;

/// Encodes and decodes what the duty record holds about usage. Decoding takes
/// a payload that it cannot read for an empty one.
nlohmann::json encode_usage_record(const policy::usage_record& record);
policy::usage_record decode_usage_record(const nlohmann::json& payload);

/// Used on the thread of the duties only.
class usage_duty
{
public:
    explicit usage_duty(usage_duty_options options);

    /// Does what is due. To be called at least every half second; throws
    /// store_error.
    void step(duty_lease& lease, const platform_call& call);

private:
    /// Whether this gateway should hold the lease: it does, or no other one has
    /// announced itself for long enough.
    bool should_hold(const duty_lease& lease, const usage_view& v) const;
    /// Fixes the windows whose counts are complete; false if the store did not
    /// confirm it.
    bool fix_reports(duty_lease& lease, const usage_view& v);
    void act(duty_lease& lease, const platform_call& call, const usage_view& v);
    void send_reports(duty_lease& lease, const platform_call& call);
    /// False if the report did not arrive.
    bool send(const policy::usage_report& report, fencing_token fencing,
              const platform_call& call);
    /// Delays the next call; yields the lease if the API cannot be reached.
    void note_failure(duty_lease& lease);
    void set_announced(bool is_holder);
    void forget_before(policy::window_number window);

    const usage_duty_options options_;
    policy::usage_plan_settings plan_settings_;
    policy::usage_record record_; ///< As last read or written.
    std::set<policy::window_number> confirmed_;
    std::map<policy::window_number, policy::account_counts> own_fixed_;
    /// No other gateway is known to have taken the lease since this one held
    /// it.
    bool was_holder_ = false;
    bool is_announced_ = false;
    mono_time next_acquire_{};
    mono_time next_send_{};
    duration send_delay_{};
    unsigned unreachable_ = 0; ///< Failed calls in a row.
};

} // namespace poplar::gateway
