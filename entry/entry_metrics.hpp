/// Prometheus metrics of the request path.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "entry/failure.hpp"

#include <absl/synchronization/mutex.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <set>
#include <string>

namespace poplar::entry
{

/// Histograms of one rank and tenant label. The pointers stay valid for the
/// life of the process.
struct stream_histograms
{
    prometheus::Histogram* first_token = nullptr;    ///< Seconds.
    prometheus::Histogram* token_interval = nullptr; ///< Seconds.
};

/// Thread-safe; no other lock is acquired while the mutex is held.
class entry_metrics
{
public:
    /// The first `tenant_labels` tenants get labels of their own; all others
    /// share the label "other", which bounds the number of time series.
    explicit entry_metrics(unsigned tenant_labels);

    stream_histograms histograms(const std::string& rank,
                                 const tenant_id& tenant);
    /// Counts a refused or failed request.
    void failed(failure_kind kind);
    /// Counts a retry that was requested from the retry budget.
    void retried();
    /// Counts a dispatch that resumes a stream after an abandoned attempt.
    void resumed();
    /// Counts a late, repeated or misdirected frame.
    void frame_dropped();
    /// Sets the gauge of open requests.
    void open_requests(double count);

private:
    std::string label_of(const tenant_id& tenant);

    const unsigned tenant_labels_;
    prometheus::Family<prometheus::Histogram>& first_token_;
    prometheus::Family<prometheus::Histogram>& token_interval_;
    prometheus::Family<prometheus::Counter>& failures_;
    prometheus::Counter& retries_;
    prometheus::Counter& resumes_;
    prometheus::Counter& dropped_frames_;
    prometheus::Gauge& open_;
    absl::Mutex mutex_;
    std::set<tenant_id> tenants_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::entry
