/// Metrics of the data path.
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

/// Histograms of one rank and tenant; valid for the life of the process.
struct stream_histograms
{
    prometheus::Histogram* first_token = nullptr;    ///< Seconds.
    prometheus::Histogram* token_interval = nullptr; ///< Seconds.
};

/// Members may be called from any thread; the lock is a leaf.
class entry_metrics
{
public:
    /// The first `tenant_labels` tenants get labels of their own, all others
    /// share the label "other".
    explicit entry_metrics(unsigned tenant_labels);

    stream_histograms histograms(const std::string& rank,
                                 const tenant_id& tenant);
    void failed(failure_kind kind);
    void retried();
    void resumed();
    void frame_dropped();
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
