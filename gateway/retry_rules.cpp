#include "gateway/retry_rules.hpp"

namespace poplar::gateway
{

std::string to_string(try_result result)
{
    switch (result)
    {
    case try_result::answered:
        return "answered";
    case try_result::answered_error:
        return "answered_error";
    case try_result::not_sent:
        return "not_sent";
    case try_result::not_run:
        return "not_run";
    case try_result::lost:
        return "lost";
    case try_result::stalled:
        return "stalled";
    case try_result::timed_out:
        return "timed_out";
    }
    return "unknown";
}

} // namespace poplar::gateway
