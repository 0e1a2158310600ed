#include "state/pool/learning/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorystall::state::pool::learning {

using std::chrono::milliseconds;

namespace {

// The two points that each queue starts with. Their weight is given in runs and is low enough for a handful
// of runs to outweigh them.
constexpr double kPriorLowMs = 1'000;
constexpr double kPriorHighMs = 10'000;
constexpr double kPriorWeight = 0.5;
// Shorter times are raised to this value.
constexpr double kMinTimeMs = 50;
// Spread of the declarations before any run has shown it.
constexpr double kPriorSpread = 0.6;
// A new group counts what its queue has shown as this many runs.
constexpr double kQueueWeight = 4;

// Each run reduces the weight of all before it by this part, so that about 60 runs count: a queue of one job
// a second has ended as many within a minute.
constexpr double kForgetting = 1.0 / 60;
// Deviations are clipped at this many standard deviations: three in a hundred tasks take seven times as long.
constexpr double kMaxDeviations = 2.5;
// Step of the quantiles in standard deviations for each run, at first as for a mean of all runs.
constexpr double kQuantileStep = 0.06;
constexpr double kFirstQuantileStep = 0.5;
constexpr double kMinSpread = 0.05;
constexpr double kMaxSpread = 2;

// A stored number of runs beyond this is damaged.
constexpr std::int64_t kMaxStoredRuns = 1'000'000'000'000;

constexpr std::array<double, 3> kQuantiles{0.5, 0.8, 0.95};
// The same quantiles of a normal distribution.
constexpr std::array<double, 3> kNormalQuantiles{0, 0.842, 1.645};

double LogMilliseconds(milliseconds time) {
  return std::log(std::max(kMinTimeMs, static_cast<double>(time.count())));
}

// A day bounds what a stored or declared time can lead to.
constexpr milliseconds kMaxTime{86'400'000};

milliseconds FromLog(double log_time) {
  return milliseconds(std::llround(std::min(static_cast<double>(kMaxTime.count()), std::exp(log_time))));
}

void AddPoint(learned_group& group, double x, double y, double weight) {
  const std::array<double, 5> point{1, x, y, x * x, x * y};
  for (std::size_t i = 0; i < point.size(); ++i) group.sums[i] += weight * point[i];
}

double Evaluate(const learned_group& group, double log_declared) {
  const auto& [n, x, y, xx, xy] = group.sums;
  const double spread = n * xx - x * x;
  const double slope = spread > 0 ? std::clamp((n * xy - x * y) / spread, 0.0, 1.0) : 0.0;
  return (y - slope * x) / n + slope * log_declared;
}

// Two points of low weight at which the declared and the actual time are equal.
learned_group Prior(task_group key) {
  learned_group group;
  group.group = std::move(key);
  group.log_spread = kPriorSpread;
  for (const double point : {kPriorLowMs, kPriorHighMs})
    AddPoint(group, std::log(point), std::log(point), kPriorWeight);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) group.quantiles[i] = kNormalQuantiles[i] * kPriorSpread;
  return group;
}

void LearnDeviation(learned_group& group, double deviation) {
  const double clipped =
      std::clamp(deviation, -kMaxDeviations * group.log_spread, kMaxDeviations * group.log_spread);
  const double share = std::max(kForgetting, 1.0 / static_cast<double>(group.runs + 4));
  const double variance = (1 - share) * group.log_spread * group.log_spread + share * clipped * clipped;
  group.log_spread = std::clamp(std::sqrt(variance), kMinSpread, kMaxSpread);
  // Each quantile moves up by its share for a run above it and down by the rest for one below.
  const double step =
      group.log_spread *
      std::max(kQuantileStep, kFirstQuantileStep / std::sqrt(static_cast<double>(group.runs + 1)));
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    // The regression is close to the median, which needs only a slow correction.
    const double part = i == 0 ? group.log_spread * kQuantileStep / 2 : step;
    group.quantiles[i] += part * (kQuantiles[i] - (deviation < group.quantiles[i] ? 1 : 0));
  }
  for (std::size_t i = 1; i < kQuantiles.size(); ++i)
    group.quantiles[i] = std::max(group.quantiles[i], group.quantiles[i - 1]);
}

bool IsPossible(const learned_group& group) {
  const auto& [n, x, y, xx, xy] = group.sums;
  bool possible = n > 0 && group.runs >= 0 && group.runs <= kMaxStoredRuns &&
                  group.log_spread >= kMinSpread / 2 && group.log_spread <= 2 * kMaxSpread &&
                  n * xx - x * x > -1e-3 * n * n;
  for (const double sum : group.sums) possible = possible && std::isfinite(sum);
  for (const double quantile : group.quantiles) possible = possible && std::abs(quantile) < 20;
  return possible;
}

}  // namespace

run_time_model::state& run_time_model::FindOrAdd(task_group_view key) {
  const auto found = groups_.find(key);
  if (found != groups_.end()) return found->second;
  const task_group group{std::string(key.workspace), std::string(key.queue), key.accelerators, key.gang};
  if (groups_.size() >= kMaxGroups) {
    groups_.erase(std::min_element(groups_.begin(), groups_.end(), [](const auto& left, const auto& right) {
      return left.second.used_at < right.second.used_at;
    }));
  }
  state added;
  const auto queue = groups_.find(QueueOf(group));
  if (queue == groups_.end()) {
    added.learned = Prior(group);
  } else {
    added.learned = queue->second.learned;
    added.learned.group = group;
    const double scale = std::min(1.0, kQueueWeight / added.learned.sums[0]);
    for (double& sum : added.learned.sums) sum *= scale;
    added.learned.runs = std::min<std::int64_t>(added.learned.runs, static_cast<std::int64_t>(kQueueWeight));
  }
  return groups_.emplace(group, std::move(added)).first->second;
}

void run_time_model::LearnIn(task_group_view key, double log_declared, double log_actual) {
  state& entry = FindOrAdd(key);
  entry.used_at = learned_runs_;
  learned_group& group = entry.learned;
  const double expected = Evaluate(group, log_declared);
  const double deviation = log_actual - expected;
  const double limit = kMaxDeviations * std::max(group.log_spread, kPriorSpread / 2);
  LearnDeviation(group, deviation);
  for (double& sum : group.sums) sum *= 1 - kForgetting;
  AddPoint(group, log_declared, expected + std::clamp(deviation, -limit, limit), 1);
  ++group.runs;
}

void run_time_model::Learn(task_group_view group, milliseconds declared, milliseconds actual) {
  ++learned_runs_;
  const double log_declared = LogMilliseconds(declared);
  const double log_actual = LogMilliseconds(actual);
  // Before the queue learns it, so that a new group does not count its first run twice.
  LearnIn(group, log_declared, log_actual);
  LearnIn(QueueOf(group), log_declared, log_actual);
}

run_time_prediction run_time_model::Predict(task_group_view group, milliseconds declared) const {
  declared = std::min(declared, kMaxTime);
  auto found = groups_.find(group);
  if (found == groups_.end()) found = groups_.find(QueueOf(group));
  if (found == groups_.end()) {
    // Planning asks for each waiting step, so the factors are computed once.
    static const double factor_80 = std::exp(kNormalQuantiles[1] * kPriorSpread);
    static const double factor_95 = std::exp(kNormalQuantiles[2] * kPriorSpread);
    const auto time = static_cast<double>(declared.count());
    return {declared, milliseconds(std::llround(time * factor_80)),
            milliseconds(std::llround(time * factor_95)), kPriorSpread, 0};
  }
  const learned_group& learned = found->second.learned;
  const double expected = Evaluate(learned, LogMilliseconds(declared));
  return {FromLog(expected + learned.quantiles[0]), FromLog(expected + learned.quantiles[1]),
          FromLog(expected + learned.quantiles[2]), learned.log_spread, learned.runs};
}

std::vector<learned_group> run_time_model::Export() const {
  std::vector<const state*> entries;
  entries.reserve(groups_.size());
  for (const auto& [key, entry] : groups_) entries.push_back(&entry);
  std::stable_sort(entries.begin(), entries.end(),
                   [](const state* left, const state* right) { return left->used_at > right->used_at; });
  std::vector<learned_group> groups;
  groups.reserve(entries.size());
  for (const state* entry : entries) groups.push_back(entry->learned);
  return groups;
}

void run_time_model::Import(const std::vector<learned_group>& groups) {
  groups_.clear();
  std::int64_t used_at = 0;
  for (const learned_group& group : groups) {
    if (!IsPossible(group) || groups_.size() == kMaxGroups) continue;
    groups_.emplace(group.group, state{group, --used_at});
  }
}

milliseconds RemainingTime(const run_time_prediction& prediction, milliseconds ran) {
  const double time = std::max(1.0, static_cast<double>(ran.count()));
  if (ran <= prediction.median / 2 || prediction.median <= milliseconds(0))
    return std::max(milliseconds(0), prediction.median - ran);
  // Points of the distribution as (log time, log of the share of runs that last longer), joined by lines.
  // Half of the median is taken as certain, and the last line is continued.
  const std::array<std::pair<double, double>, 4> points{
      {{LogMilliseconds(prediction.median / 2), 0.0},
       {LogMilliseconds(prediction.median), std::log(0.5)},
       {LogMilliseconds(std::max(prediction.p80, prediction.median * 101 / 100)), std::log(0.2)},
       {LogMilliseconds(std::max(prediction.p95, prediction.p80 * 102 / 100)), std::log(0.05)}}};
  const auto interpolate = [](double x, double x0, double y0, double x1, double y1) {
    return y0 + (y1 - y0) * (x - x0) / std::max(1e-6, x1 - x0);
  };
  const double log_time = std::log(time);
  std::size_t i = 0;
  while (i + 2 < points.size() && log_time > points[i + 1].first) ++i;
  const double share =
      interpolate(log_time, points[i].first, points[i].second, points[i + 1].first, points[i + 1].second);
  const double wanted = share + std::log(0.5);
  while (i + 2 < points.size() && wanted < points[i + 1].second) ++i;
  const double log_end = points[i].first + (points[i + 1].first - points[i].first) *
                                               (wanted - points[i].second) /
                                               (points[i + 1].second - points[i].second);
  return std::max(milliseconds(0), FromLog(log_end) - ran);
}

}  // namespace hickorystall::state::pool::learning
