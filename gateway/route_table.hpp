/// Maps the host and path of a request to its route.
#pragma once

#include "gateway/types.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace poplar::gateway
{

/// The routes of a configuration, indexed by host. Immutable.
class route_table
{
public:
    route_table() = default;
    explicit route_table(const configuration& config);

    /// Returns the route of the host with the longest prefix of the path; null
    /// when no route matches. `host` may contain a port and is compared without
    /// regard to case; the query of `target` is ignored.
    const route* find(std::string_view host, std::string_view target) const;

private:
    /// Routes by host, those with the longest path prefix first.
    std::map<std::string, std::vector<route>, std::less<>> hosts_;
};

/// Selects a service of the route by weight; `random` is uniform in [0, 1).
const service_id& choose_target(const route& r, double random);

} // namespace poplar::gateway
