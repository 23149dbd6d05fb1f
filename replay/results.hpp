/// Figures of one run.
#pragma once

#include "replay/entry_model.hpp"
#include "replay/trace.hpp"

#include <vector>

namespace poplar::replay
{

struct rank_figures
{
    double offered = 0; ///< Requests.
    double met = 0;     ///< Requests that met their target.

    double part() const
    {
        return offered > 0 ? met / offered : 1;
    }
};

/// Service of one rank while another floods.
struct flood_figures
{
    std::size_t flooding_rank = 0;
    std::vector<rank_figures> ranks; ///< Requests that arrived in the flood.
    /// Part of the tokens on target in the flood, by rank, in engine seconds.
    std::vector<double> engine_seconds;
};

struct figures
{
    double worth_tokens = 0; ///< Of requests on target, weighted by worth.
    double plain_tokens = 0;
    double offered_worth_tokens = 0;
    std::vector<rank_figures> ranks;
    std::vector<flood_figures> floods;
    std::size_t role_changes = 0;
    std::size_t refusals = 0;
    std::size_t retries = 0;       ///< Offers at the time told.
    std::size_t retries_true = 0;  ///< Of these, served on target.
    std::size_t late_accepted = 0; ///< Not refused, yet off target.
    double mean_retry_after = 0;   ///< Seconds.
};

/// On target: the first token within the rank's target of the request's first
/// arrival, the answer complete, and the mean token interval within target.
figures measure(const trace& t, const std::vector<attempt>& attempts,
                const policy::engine_speed& speed);

} // namespace poplar::replay
