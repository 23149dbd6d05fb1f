#include "gateway/retry_rules.hpp"

namespace poplar::gateway
{

std::string to_string(attempt_result result)
{
    switch (result)
    {
    case attempt_result::answered:
        return "answered";
    case attempt_result::answered_error:
        return "answered_error";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::not_run:
        return "not_run";
    case attempt_result::lost:
        return "lost";
    case attempt_result::stalled:
        return "stalled";
    case attempt_result::timed_out:
        return "timed_out";
    }
    return "unknown";
}

} // namespace poplar::gateway
