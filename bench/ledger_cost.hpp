/// Cost of the ledger of non-idempotent calls in one process.
#pragma once

#include "base/time.hpp"

namespace poplar::bench
{

/// Runs the ledger over a store in memory at several call rates, each for
/// `window`, and prints one line for each.
void measure_ledger(duration window);

} // namespace poplar::bench
