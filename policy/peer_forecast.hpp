/// Expected work that peer gateways have placed on engines since their last
/// load reports, and a choice of engine that takes it into account.
///
/// Peers see nearly the same loads and choose by the same rules. If all of them
/// chose the engine with the lowest cost, they would all choose the same one
/// until the next reports. Instead each gateway chooses at random, so that the
/// unreported work of all of them together raises the cheapest engines to one
/// common cost, as water fills the lowest parts of a basin.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace poplar::policy
{

/// An engine that a request may be placed on.
struct forecast_engine
{
    std::string_view id;
    /// Expected time without the unreported work.
    double cost_seconds = 0;
    /// Work that the engine does per second, in seconds of a reference engine.
    double speed = 1;
};

/// Work that peers are expected to have placed since their last reports, in
/// seconds of a reference engine, from the work that they place per second and
/// the time between two reports of one peer.
double unreported_work(double placed_per_second, duration between_reports);

/// Time that the unreported work is expected to take at each engine, in
/// seconds. `unreported_seconds` is the work on all of them together, in
/// seconds of a reference engine.
std::vector<double>
expected_unreported_work(std::span<const forecast_engine> engines,
                         double unreported_seconds);

/// Chooses an engine with a probability in proportion to its expected
/// unreported work. The same key and weights give the same engine in each
/// gateway, and a small change of the weights rarely gives another. Returns
/// the number of engines if no engine has any weight.
std::size_t choose_by_share(std::span<const forecast_engine> engines,
                            std::span<const double> unreported,
                            std::uint64_t key);

} // namespace poplar::policy
