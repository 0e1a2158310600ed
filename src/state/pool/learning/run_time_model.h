#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace hickorystall::state::pool::learning {

/// Tasks whose run times are learned together. Those of the same workspace, queue and shape are more alike
/// than all of a queue.
struct task_group {
  /// Empty, with `accelerators` -1, for all tasks of the queue.
  std::string workspace;
  std::string queue;
  std::int64_t accelerators = -1;
  bool gang = false;
};

/// Names a `task_group` without a copy.
struct task_group_view {
  std::string_view workspace;
  std::string_view queue;
  std::int64_t accelerators = -1;
  bool gang = false;

  task_group_view(std::string_view workspace, std::string_view queue, std::int64_t accelerators, bool gang)
      : workspace(workspace), queue(queue), accelerators(accelerators), gang(gang) {}
  // Implicit, so that a map of groups is searched without a copy.
  task_group_view(const task_group& group)  // NOLINT(google-explicit-constructor)
      : task_group_view(group.workspace, group.queue, group.accelerators, group.gang) {}
  friend bool operator<(const task_group_view& left, const task_group_view& right) {
    return std::tie(left.workspace, left.queue, left.accelerators, left.gang) <
           std::tie(right.workspace, right.queue, right.accelerators, right.gang);
  }
};

/// Expected run time of a task on a worker of average speed.
struct run_time_prediction {
  std::chrono::milliseconds median{0};
  /// Times within which 80 and 95 of 100 runs end.
  std::chrono::milliseconds p80{0};
  std::chrono::milliseconds p95{0};
  /// Standard deviation of the logarithm of the run time, without the longest runs.
  double log_spread = 0;
  /// Number of runs that the prediction is based on.
  std::int64_t runs = 0;
};

/// Returns the median of the time that a run still takes which has lasted for `ran`.
std::chrono::milliseconds RemainingTime(const run_time_prediction& prediction, std::chrono::milliseconds ran);

/// What a group of tasks has shown, for storing it.
struct learned_group {
  task_group group;
  /// Weighted sums of a linear regression of y = log(actual) over x = log(declared): n, x, y, xx, xy.
  std::array<double, 5> sums{};
  /// Quantiles of 50, 80 and 95% of the logarithmic deviation from the regression.
  std::array<double, 3> quantiles{};
  /// Standard deviation of that deviation.
  double log_spread = 0;
  std::int64_t runs = 0;
};

/// Learns for each group of tasks how long they run and how reliable their declared run times are, by fitting
/// log(actual) = a + b * log(declared). With accurate declarations b approaches 1. With declarations that are
/// wrong by a factor of ten in either direction b approaches 0, and the mean of the group replaces them.
/// Planning with such declarations spread a gang over racks after a wait of 0.7 s, because its 3 s of work
/// were declared as 0.3 s. Earlier runs count less and less, so that the model follows a change.
class run_time_model {
 public:
  /// Adds the run time of a task, as on a worker of average speed and near its data.
  void Learn(task_group_view group, std::chrono::milliseconds declared, std::chrono::milliseconds actual);
  /// Returns the expected run time of a task of `group`, or that of its queue while the group is unknown.
  run_time_prediction Predict(task_group_view group, std::chrono::milliseconds declared) const;

  /// Returns all groups, the one with the latest run first.
  std::vector<learned_group> Export() const;
  /// Replaces the state by `groups`, in the order of `Export`. Ignores groups with impossible numbers.
  void Import(const std::vector<learned_group>& groups);
  /// Number of runs that were learned.
  std::int64_t learned_runs() const { return learned_runs_; }
  std::size_t group_count() const { return groups_.size(); }

  /// The group whose latest run is the oldest is forgotten when there are more.
  static constexpr std::size_t kMaxGroups = 256;

 private:
  struct state {
    learned_group learned;
    // `learned_runs_` at its latest run.
    std::int64_t used_at = 0;
  };

  struct group_less {
    using is_transparent = void;
    bool operator()(task_group_view left, task_group_view right) const { return left < right; }
  };

  static task_group_view QueueOf(task_group_view group) { return {"", group.queue, -1, false}; }
  state& FindOrAdd(task_group_view group);
  void LearnIn(task_group_view group, double log_declared, double log_actual);

  std::map<task_group, state, group_less> groups_;
  std::int64_t learned_runs_ = 0;
};

}  // namespace hickorystall::state::pool::learning
