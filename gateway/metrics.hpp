/// Prometheus metrics of a gateway.
#pragma once

#include "base/time.hpp"
#include "gateway/account_labels.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace poplar::gateway
{

/// Counters, histograms and gauges, registered with observe::metrics().
class gateway_metrics
{
public:
    gateway_metrics();

    /// `outcome` becomes a label and must come from a fixed set of words.
    void record_request(const std::string& service, unsigned priority,
                        const std::string& outcome, duration elapsed);
    void record_first_event(const std::string& service, unsigned priority,
                            duration elapsed);
    void record_attempt(const std::string& service, const std::string& result);
    /// Only accounts with many requests have a label of their own.
    void record_account(const account_name& account, const std::string& outcome,
                        duration elapsed);
    void set_open_requests(unsigned n);
    /// A request was ended, or a connection closed, because of a limit of this
    /// process; `limit` is the name of its setting.
    void record_ended_caller(const std::string& limit);
    void set_caller_bytes(std::size_t n);
    void set_held_requests(std::size_t n);

private:
    /// Metrics of one account label.
    struct account_metrics
    {
        std::map<std::string, prometheus::Counter*> requests; ///< By outcome.
        prometheus::Histogram* seconds = nullptr;
    };

    void drop_account(const std::string& label);

    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Histogram>& request_seconds_;
    prometheus::Family<prometheus::Histogram>& first_event_seconds_;
    prometheus::Family<prometheus::Counter>& account_requests_;
    prometheus::Family<prometheus::Histogram>& account_seconds_;
    std::map<std::string, account_metrics> accounts_;
    account_labels labels_;
    prometheus::Gauge& open_requests_;
    prometheus::Family<prometheus::Counter>& ended_callers_;
    prometheus::Gauge& caller_bytes_;
    prometheus::Gauge& held_requests_;
};

} // namespace poplar::gateway
