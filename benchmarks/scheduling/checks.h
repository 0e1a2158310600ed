#pragma once

#include <cstdint>

namespace hickorystall::benchmark {

/// Runs a short set of loads and checks the targets that hold in simulated time and the growth of a
/// decision's cost. Prints each bound that is broken; returns true when none is.
bool RunChecks(std::uint64_t seed);

}  // namespace hickorystall::benchmark
