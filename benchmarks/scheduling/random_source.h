#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <random>

namespace hickorystall::benchmark {

/// Generates seeded random numbers. It uses no distribution of the standard library, since their results
/// differ between implementations.
class random_source {
 public:
  /// Starts the sequence of `seed`.
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// Returns a number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  /// Returns an integer in [low, high].
  int Between(int low, int high) { return low + static_cast<int>(Unit() * (high - low + 1)); }
  /// Returns a number in [low, high) whose logarithm is uniform.
  double LogBetween(double low, double high) { return low * std::exp(Unit() * std::log(high / low)); }
  /// Returns a time in [low, high) whose logarithm is uniform.
  std::chrono::milliseconds Time(std::chrono::milliseconds low, std::chrono::milliseconds high) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        LogBetween(static_cast<double>(low.count()), static_cast<double>(high.count()))));
  }
  /// True with probability `chance`.
  bool Chance(double chance) { return Unit() < chance; }

 private:
  /// The C++ standard fixes the output of this engine.
  std::mt19937_64 engine_;
};

}  // namespace hickorystall::benchmark
