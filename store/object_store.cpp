#include "store/object_store.hpp"

#include <stdexcept>

namespace poplar::store
{

store_error::store_error(store_failure failure, const std::string& detail)
    : error(detail), failure_(failure)
{
}

std::string to_string(store_failure failure)
{
    switch (failure)
    {
    case store_failure::unavailable:
        return "unavailable";
    case store_failure::rate_limited:
        return "rate_limited";
    case store_failure::unknown_outcome:
        return "unknown_outcome";
    case store_failure::too_large:
        return "too_large";
    case store_failure::compacted:
        return "compacted";
    case store_failure::invalid:
        return "invalid";
    }
    throw std::logic_error("store_failure");
}

std::string to_string(instance_kind kind)
{
    switch (kind)
    {
    case instance_kind::entry:
        return "entry";
    case instance_kind::engine:
        return "engine";
    case instance_kind::service:
        return "service";
    }
    throw std::logic_error("instance_kind");
}

std::string to_string(instance_state state)
{
    return state == instance_state::live ? "live" : "leaving";
}

} // namespace poplar::store
