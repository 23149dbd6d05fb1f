#include "policy/cells.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace poplar::policy
{

namespace
{

/// Largest number of items in a bin.
std::size_t bin_capacity(std::size_t items, std::size_t bins,
                         double balance_factor)
{
    const double average =
        static_cast<double>(items) / static_cast<double>(bins);
    return static_cast<std::size_t>(std::ceil(average * balance_factor));
}

/// Returns the indexes of the members sorted by digest. This order depends
/// neither on the order of the list nor on the other members.
std::vector<std::size_t> digest_order(const std::vector<instance_id>& members)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> keys;
    keys.reserve(members.size());
    for (std::size_t i = 0; i < members.size(); ++i)
        keys.emplace_back(digest(members[i].value), i);
    std::ranges::sort(keys);
    std::vector<std::size_t> order;
    order.reserve(members.size());
    for (const auto& [key, i] : keys)
        order.push_back(i);
    return order;
}

/// Returns the bins of a member, the one with the highest rendezvous weight
/// first.
std::vector<std::uint32_t> preferences(const instance_id& member,
                                       const std::vector<std::uint64_t>& bins)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> weights;
    weights.reserve(bins.size());
    for (std::uint32_t i = 0; i < bins.size(); ++i)
        weights.emplace_back(rendezvous_weight(member.value, bins[i]), i);
    std::ranges::sort(weights, std::greater<>());
    std::vector<std::uint32_t> order;
    order.reserve(bins.size());
    for (const auto& [weight, i] : weights)
        order.push_back(i);
    return order;
}

} // namespace

std::vector<std::uint32_t> assign_cells(const std::vector<instance_id>& members,
                                        std::uint32_t cells,
                                        double balance_factor)
{
    std::vector<std::uint32_t> result(members.size(), 0);
    if (cells <= 1)
        return result;
    std::vector<std::uint64_t> bins(cells);
    std::iota(bins.begin(), bins.end(), 1);
    const std::size_t capacity =
        bin_capacity(members.size(), cells, balance_factor);
    std::vector<std::size_t> bin_sizes(cells, 0);
    for (std::size_t i : digest_order(members))
    {
        const auto order = preferences(members[i], bins);
        const auto it =
            std::ranges::find_if(order, [&](std::uint32_t bin)
                                 { return bin_sizes[bin] < capacity; });
        result[i] = *it;
        ++bin_sizes[*it];
    }
    return result;
}

std::vector<instance_id> agent_subset(const instance_id& entry,
                                      const std::vector<instance_id>& entries,
                                      const std::vector<instance_id>& agents,
                                      std::uint32_t degree,
                                      double balance_factor)
{
    if (degree >= entries.size())
        return agents;
    std::vector<std::uint64_t> bins;
    bins.reserve(entries.size());
    for (const instance_id& e : entries)
        bins.push_back(digest(e.value));
    const std::size_t capacity =
        bin_capacity(agents.size() * degree, entries.size(), balance_factor);
    std::vector<std::size_t> bin_sizes(entries.size(), 0);
    std::vector<instance_id> result;
    for (std::size_t i : digest_order(agents))
    {
        std::uint32_t connected = 0;
        for (std::uint32_t bin : preferences(agents[i], bins))
        {
            if (connected == degree)
                break;
            if (bin_sizes[bin] >= capacity)
                continue;
            ++bin_sizes[bin];
            ++connected;
            if (entries[bin] == entry)
                result.push_back(agents[i]);
        }
    }
    return result;
}

} // namespace poplar::policy
