#pragma once

#include <chrono>

namespace hickorystall::state {

/// Rate of amounts that are added over time: their sum in the last window, estimated from two fixed windows.
template <class TimePoint>
class windowed_rate {
 public:
  explicit windowed_rate(typename TimePoint::duration window) : window_(window) {}

  void Add(double amount, TimePoint now) {
    const auto age = now - start_;
    if (age >= window_) {
      previous_ = age >= 2 * window_ ? 0 : current_;
      current_ = 0;
      start_ = now;
    }
    current_ += amount;
  }

  /// Returns the amount per second, averaged over about the last window.
  double PerSecond(TimePoint now) const {
    const auto age = now - start_;
    const double window_s = std::chrono::duration<double>(window_).count();
    if (age >= 2 * window_) return 0;
    if (age >= window_) return current_ / window_s;
    // Weights the previous window by the part of it that is within the last one.
    const double previous_weight = 1 - std::chrono::duration<double>(age).count() / window_s;
    return (current_ + previous_weight * previous_) / window_s;
  }

 private:
  typename TimePoint::duration window_;
  // Amounts in the current window and in the one before it.
  TimePoint start_{};
  double current_ = 0;
  double previous_ = 0;
};

}  // namespace hickorystall::state
