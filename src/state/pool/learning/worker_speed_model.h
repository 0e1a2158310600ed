#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "state/pool/learning/learned_state.h"
#include "state/pool/learning/worker_speed.h"
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool::learning {

/// Identifies a step of one occurrence of a job.
struct step_key {
  std::string job;
  int occurrence = 0;
  int step = 0;
  friend bool operator<(const step_key& left, const step_key& right) {
    return std::tie(left.job, left.occurrence, left.step) < std::tie(right.job, right.occurrence, right.step);
  }
};

/// What is known of the work of a step before any of its tasks was observed.
struct work_prior {
  /// Median run time of a task on a worker of average speed.
  std::chrono::milliseconds time{0};
  /// Standard deviation of the logarithm of the run time.
  double log_error = 0.6;
};

/// A measurement of the time that a task takes in all on a worker, from its end or from its progress.
struct run_observation {
  std::string worker;
  step_key step;
  work_prior prior;
  std::chrono::duration<double> time{0};
  /// Standard deviation of the logarithm of `time` that is due to the measurement alone.
  double log_error = 0;
};

/// Learns the speeds of workers from how long tasks take there, while the work of the tasks is not known
/// either. The logarithm of the time of a task is the log work of its step, less the log speed of its worker,
/// plus an error. Both terms are normal variables. Each observation of a step is compared with what all
/// others of the step say about its work, so that tasks of one step on different workers are compared
/// directly, and a task that is alone in its step counts only as far as its work is predictable.
class worker_speed_model {
 public:
  worker_speed_model();

  /// Applies one observation. There must be at most one for each run, since the work of its task deviates
  /// from that of the step by the same amount in all of them.
  void Observe(const run_observation& observation, boot_time now);
  /// Forgets a worker, because another incarnation runs under its id or because it has left.
  void ForgetWorker(const std::string& worker) { workers_.erase(worker); }
  void ForgetStep(const step_key& step) { steps_.erase(step); }
  /// Forgets all steps of a job.
  void ForgetJob(const std::string& job);
  /// Sets the scale so that the median of the observed workers is 1, and classifies all workers. Does nothing
  /// and returns false within `kNormalizeInterval` of the last time.
  bool Normalize(boot_time now);

  /// Returns the speed of a worker, as of the latest observation of this worker or the latest normalization.
  worker_speed Speed(const std::string& worker) const;
  /// Returns the most likely log speed, 0 for an unknown worker. `Speed` shows only certain differences.
  double LogSpeed(const std::string& worker) const;

  /// Returns all workers. Incarnations are not known here and left 0.
  std::vector<learned_worker> Export() const;
  /// Adds what an earlier owner has learned of a worker, unless it is already known.
  void Restore(const learned_worker& worker, boot_time now);

  std::size_t worker_count() const { return workers_.size(); }
  std::size_t step_count() const { return steps_.size(); }
  /// Standard deviation of the log work of the tasks of a step.
  double task_spread() const;

  static constexpr std::chrono::milliseconds kNormalizeInterval{1000};

 private:
  // Normal distribution of a logarithm. Independent knowledge of the same quantity is added.
  struct knowledge {
    double precision = 0;
    // Mean times precision.
    double weighted_mean = 0;

    static knowledge Of(double mean, double variance) { return {1 / variance, mean / variance}; }
    double Mean() const { return weighted_mean / precision; }
    double Variance() const { return 1 / precision; }
    void Shift(double distance) { weighted_mean += distance * precision; }
    knowledge& operator+=(const knowledge& other);
    knowledge& operator-=(const knowledge& other);
  };
  struct worker_state {
    knowledge log_speed;
    // Mean of the assumption in `log_speed`: that of the median worker at first, and the earlier speed of
    // the worker after a change.
    double assumed = 0;
    // Time up to which the growth of the variance is applied.
    boot_time aged_at{};
    // Exponentially weighted sum of the normalized errors of the latest observations.
    double drift = 0;
    // Number of observations.
    int runs = 0;
    // Number of times that the worker was found to have changed.
    int changes = 0;
    worker_speed published;
  };
  // What was observed of a step on one worker.
  struct step_host {
    std::shared_ptr<worker_state> worker;
    // `worker_state::changes` at the observation. Knowledge from before a change is not corrected any more.
    int changes = 0;
    // Logarithm of the time of a task in ms, of all tasks on this worker.
    knowledge log_time;
    // What it says about the log work of the step, and what it has added to the log speed of the worker.
    knowledge of_work;
    knowledge of_speed;
  };
  struct step_state {
    // What is known of the log work without `hosts`.
    knowledge log_work;
    std::vector<step_host> hosts;
  };

  // Adds the logarithm of a time, measured with the given variance, to the hosts of a step.
  void AddTime(step_state& step, const std::shared_ptr<worker_state>& worker, double log_time,
               double variance);
  // Returns what is known of the log work of a step.
  static knowledge WorkOf(const step_state& step);
  // Returns what is known of the log speed of the worker of `host` without `host`.
  static knowledge SpeedWithout(const step_host& host);
  // Raises the variance of the log speed of a worker to `variance`, at most that of an unknown worker. What
  // was observed counts less, and its mean stays: kept in the sum with the prior instead, the mean of the
  // observations alone would grow without bound as their precision approaches zero.
  static void RaiseVariance(worker_state& worker, double variance);
  static void Age(worker_state& worker, boot_time now);
  // Corrects what the hosts of a step say about its work and about the speed of their workers.
  void UpdateWorkers(step_state& step);
  // Applies the error of a new observation, which has the given variance without that of the task.
  void LearnTaskSpread(double error, double known_variance);
  // Makes what is known of a worker uncertain if its latest errors show that it has changed.
  static void DetectChange(worker_state& worker);
  void Publish(worker_state& worker) const;
  // Returns the mean of the middle fifth of the log speeds.
  double MedianLogSpeed() const;
  // Returns whether more workers deviate from the median than chance explains.
  bool IsMixed() const;

  std::map<std::string, std::shared_ptr<worker_state>> workers_;
  std::map<step_key, step_state> steps_;
  // Variance of the log work of the tasks of a step.
  double task_variance_;
  // Result of `IsMixed` at the latest normalization.
  bool is_mixed_ = false;
  boot_time normalized_at_{};
};

}  // namespace hickorystall::state::pool::learning
