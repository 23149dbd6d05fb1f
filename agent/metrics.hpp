/// Metrics of the agent in the process-wide registry.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <string>

namespace poplar::agent
{

/// All members may be called from any thread.
class agent_metrics
{
public:
    agent_metrics();

    void observe_first_token(std::uint32_t rank, duration d);
    void observe_stream(std::uint32_t rank, duration d);
    void count_stream_end(const std::string& reason);
    void count_refusal(const std::string& reason);
    void count_cancel(const std::string& cause);
    void count_order(const std::string& outcome);
    void count_call(const std::string& state);

private:
    using counters = prometheus::Family<prometheus::Counter>;
    using histograms = prometheus::Family<prometheus::Histogram>;

    histograms& first_token_;
    histograms& streams_;
    counters& stream_ends_;
    counters& refusals_;
    counters& cancels_;
    counters& orders_;
    counters& calls_;
};

} // namespace poplar::agent
