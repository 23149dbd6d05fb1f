/// What became of the requests in a gateway's log, by kind of request.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>

namespace poplar::ctl
{

/// Requests of one service and priority.
struct kind_losses
{
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t left = 0; ///< The caller left first.
    /// Late, refused, failed or left, by cause.
    std::map<std::string, std::uint64_t> causes;
};

/// Causes of late requests: `retry` (an earlier try failed), `prefill_wait`
/// (work before it), `prompt` (its own reading), `decode_wait` (first event
/// after the reading), `pause` (between events), `call`. Of callers that left:
/// the step that was awaited, `prefill`, `first_event`, `stream` or `call`, or
/// `retry`. Refusals and failures have the reason that the log gives.
class loss_report
{
public:
    using kind = std::pair<std::string, std::string>; ///< Service, priority.

    /// Takes a record of the log; others than placements and ends are ignored.
    void add(const nlohmann::json& record);

    const std::map<kind, kind_losses>& kinds() const
    {
        return kinds_;
    }

private:
    struct placement
    {
        bool has_reader = false;
        std::int64_t wait_ms = 0;
        std::int64_t ready_ms = 0; ///< Until the prompt is read, with the wait.
    };

    void add_end(const nlohmann::json& record);
    static std::string cause_of_lateness(const nlohmann::json& end,
                                         const placement* placed);
    static std::string awaited_step(const nlohmann::json& end,
                                    const placement* placed);

    std::map<kind, kind_losses> kinds_;
    std::unordered_map<std::string, placement> open_; ///< By request.
};

} // namespace poplar::ctl
