#include "state/pool/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// The two points that each queue starts with. Their weight is given in runs and is low enough for a handful
// of runs to outweigh them.
constexpr double kPriorLowMs = 1'000;
constexpr double kPriorHighMs = 10'000;
constexpr double kPriorWeight = 0.5;
// Shorter times are raised to this value.
constexpr double kMinTimeMs = 50;

double LogMilliseconds(milliseconds time) {
  return std::log(std::max(kMinTimeMs, static_cast<double>(time.count())));
}

}  // namespace

void run_time_model::regression::Add(double log_declared, double log_actual, double weight) {
  n += weight;
  x += weight * log_declared;
  y += weight * log_actual;
  xx += weight * log_declared * log_declared;
  xy += weight * log_declared * log_actual;
}

double run_time_model::regression::Evaluate(double log_declared) const {
  const double spread = n * xx - x * x;
  const double slope = std::clamp((n * xy - x * y) / spread, 0.0, 1.0);
  return (y - slope * x) / n + slope * log_declared;
}

run_time_model::regression run_time_model::Prior() {
  regression prior;
  for (const double point : {kPriorLowMs, kPriorHighMs})
    prior.Add(std::log(point), std::log(point), kPriorWeight);
  return prior;
}

void run_time_model::Learn(const std::string& queue, milliseconds declared, milliseconds actual) {
  queues_.try_emplace(queue, Prior())
      .first->second.Add(LogMilliseconds(declared), LogMilliseconds(actual), 1.0);
}

milliseconds run_time_model::Predict(const std::string& queue, milliseconds declared) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end()) return declared;
  return milliseconds(std::llround(std::exp(found->second.Evaluate(LogMilliseconds(declared)))));
}

}  // namespace hickorystall::state::pool
