#pragma once

#include <chrono>
#include <map>
#include <string>

namespace hickorystall::state::pool {

/// Learns for each queue how reliable declared run times are, by fitting log(actual) = a + b * log(declared).
/// With accurate declarations b approaches 1. With declarations that are wrong by a factor of ten in either
/// direction b approaches 0, and the mean of the queue replaces them. Planning with such declarations spread
/// a gang over racks after a wait of 0.7 s, because its 3 s of work were declared as 0.3 s.
class run_time_model {
 public:
  /// Adds the run time of a task that did all of its work in one run, without resuming from a checkpoint, and
  /// near its data.
  void Learn(const std::string& queue, std::chrono::milliseconds declared, std::chrono::milliseconds actual);
  /// Returns the expected run time of a task of `queue`.
  std::chrono::milliseconds Predict(const std::string& queue, std::chrono::milliseconds declared) const;

 private:
  // Weighted sums of a linear regression of y = log(actual) over x = log(declared).
  struct regression {
    double n = 0, x = 0, y = 0, xx = 0, xy = 0;
    void Add(double log_declared, double log_actual, double weight);
    double Evaluate(double log_declared) const;
  };
  // Returns the initial state: two points of low weight at which the declared and the actual time are equal.
  static regression Prior();
  std::map<std::string, regression> queues_;
};

}  // namespace hickorystall::state::pool
