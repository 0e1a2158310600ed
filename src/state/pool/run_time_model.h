#pragma once

#include <chrono>
#include <map>
#include <string>

namespace hickorystall::state::pool {

/// Learns, for each queue, how far declared run times can be trusted. It fits log(actual) = a + b
/// log(declared): in a queue with good declarations b comes out near 1, in one where they are off by a factor
/// of ten either way b comes near 0 and the queue's own mean takes their place. On a played day with an error
/// of that size a gang was spread over racks after 0.7 s of waiting, since its 3 s of work were declared as
/// 0.3 s.
class run_time_model {
 public:
  /// Takes in a run that did its whole work, without checkpoint, near its data.
  void Learn(const std::string& queue, std::chrono::milliseconds declared, std::chrono::milliseconds actual);
  /// Run time to expect of a task of `queue`.
  std::chrono::milliseconds Predict(const std::string& queue, std::chrono::milliseconds declared) const;

 private:
  // Sums of a linear regression, beginning with two weak points at which declared and actual time agree.
  struct regression {
    double n = 0, x = 0, y = 0, xx = 0, xy = 0;
    void Add(double log_declared, double log_actual, double weight);
    double At(double log_declared) const;
  };
  static regression Prior();
  std::map<std::string, regression> queues_;
};

}  // namespace hickorystall::state::pool
