#pragma once

#include <cstdint>

namespace hickorystall::benchmark {

/// Runs a short set of loads and checks the bounds that apply to simulated time, and how the cost of a
/// decision grows with the size of the cluster. Prints every bound with the measured value; returns true when
/// all of them hold.
bool RunChecks(std::uint64_t seed);

}  // namespace hickorystall::benchmark
