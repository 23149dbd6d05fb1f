#include "gateway/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace poplar::gateway
{

namespace
{

std::string normalize_host(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return std::tolower(c); });
    return result;
}

} // namespace

route_table::route_table(const configuration& config)
{
    for (const route& it : config.routes)
        hosts_[it.host].push_back(it);
    for (auto& [host, routes] : hosts_)
        std::ranges::stable_sort(routes, std::ranges::greater(),
                                 [](const route& it)
                                 { return it.path_prefix.size(); });
}

const route* route_table::find(std::string_view host,
                               std::string_view target) const
{
    const auto routes = hosts_.find(normalize_host(host));
    if (routes == hosts_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    const auto it =
        std::ranges::find_if(routes->second, [&](const route& r)
                             { return path.starts_with(r.path_prefix); });
    return it == routes->second.end() ? nullptr : &*it;
}

const service_id& choose_target(const route& r, double random)
{
    const double total_weight = std::accumulate(
        r.targets.begin(), r.targets.end(), 0.0,
        [](double n, const route_target& it) { return n + it.weight; });
    double remaining = random * total_weight;
    for (const route_target& it : r.targets)
    {
        remaining -= it.weight;
        if (remaining < 0)
            return it.service;
    }
    return r.targets.back().service;
}

} // namespace poplar::gateway
