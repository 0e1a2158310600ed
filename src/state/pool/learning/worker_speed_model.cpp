#include "state/pool/learning/worker_speed_model.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace hickorystall::state::pool::learning {

using std::chrono::milliseconds;

namespace {

// Speeds of 0.6 to 1.6 have a standard deviation of 0.4 in logs, and most pools have less.
constexpr double kSpeedVariance = 0.35 * 0.35;
// Time in which the variance of an unobserved worker grows from zero to that of an unknown one. A worker
// keeps its speed while it runs; only what happens to it rarely has to fade.
constexpr std::chrono::duration<double> kFadeTime = std::chrono::minutes(10);
// Errors are clipped at this many standard deviations: three in a hundred tasks take seven times as long.
constexpr double kMaxDeviations = 3;
// Beyond this many, an error counts less, since it is more likely that of a single task than of the worker.
constexpr double kFullWeightDeviations = 2;

// The spread of tasks in a step at first, and its limits, as variances.
constexpr double kTaskVariance = 0.25 * 0.25;
constexpr double kMinTaskVariance = 0.1 * 0.1;
constexpr double kMaxTaskVariance = 0.7 * 0.7;
// Part of the difference by which one fully informative observation corrects the spread. A gain of 0.02
// followed chance.
constexpr double kTaskVarianceGain = 0.007;
// Clipping of errors for the spread: without it the long tasks count, with 2 it comes out a tenth too small.
constexpr double kMaxSpreadDeviations = 2.5;

// A worker whose latest errors all have the same sign has changed. One long task alone does not reach the
// limit, two in a row do.
constexpr double kDriftDecay = 0.5;
constexpr double kDriftLimit = 3.6;

// Limits of what a stored row may say of a worker: certainty that no number of runs gives, and a speed of a
// twentieth or twenty times the median.
constexpr double kMinStoredVariance = 0.01 * 0.01;
constexpr double kMaxStoredLogSpeed = 3;

// Limit of a published speed, a twentieth or twenty times the median as in a stored row.
constexpr double kMaxLogFactor = 3;

// Only the workers that were last added to a step are corrected when another is added. With this many the
// work of the step is known, and the cost of a step with hundreds of tasks is bounded.
constexpr std::size_t kMaxStepHosts = 64;

// Fewer runs say nothing certain about a worker, since a single task may take seven times as long.
constexpr int kMinRuns = 3;
// A class differs by more than a fifth from the median.
const double kClassDistance = std::log(1.2);
// Deviations required of a worker in a pool of different speeds, and in one without. In the latter, 2 puts
// one worker in twenty into a wrong class by chance.
constexpr double kDeviationsIfMixed = 2;
constexpr double kDeviationsIfEqual = 4;
// Chance puts 5% of the workers of a pool with equal speeds beyond 2 standard deviations.
constexpr double kMixedShare = 0.2;

}  // namespace

worker_speed_model::knowledge& worker_speed_model::knowledge::operator+=(const knowledge& other) {
  precision += other.precision;
  weighted_mean += other.weighted_mean;
  return *this;
}

worker_speed_model::knowledge& worker_speed_model::knowledge::operator-=(const knowledge& other) {
  precision -= other.precision;
  weighted_mean -= other.weighted_mean;
  return *this;
}

worker_speed_model::worker_speed_model() : task_variance_(kTaskVariance) {}

void worker_speed_model::Observe(const run_observation& observation, boot_time now) {
  const double time_ms = std::chrono::duration<double, std::milli>(observation.time).count();
  if (!(time_ms > 0) || observation.prior.time <= milliseconds(0)) return;
  const auto [found, is_new_step] = steps_.try_emplace(observation.step);
  step_state& step = found->second;
  if (is_new_step) {
    step.log_work = knowledge::Of(std::log(static_cast<double>(observation.prior.time.count())),
                                  observation.prior.log_error * observation.prior.log_error);
  }
  std::shared_ptr<worker_state>& worker = workers_[observation.worker];
  if (worker == nullptr) {
    worker = std::make_shared<worker_state>();
    worker->log_speed = knowledge::Of(0, kSpeedVariance);
    worker->aged_at = now;
  }
  Age(*worker, now);
  AddTime(step, worker, std::log(time_ms), observation.log_error * observation.log_error);
  UpdateWorkers(step);
}

void worker_speed_model::AddTime(step_state& step, const std::shared_ptr<worker_state>& worker,
                                 double log_time, double variance) {
  const knowledge work = WorkOf(step);
  const double known_variance = work.Variance() + worker->log_speed.Variance() + variance;
  const double deviation = std::sqrt(known_variance + task_variance_);
  const double expected = work.Mean() - worker->log_speed.Mean();
  const double deviations = std::clamp((log_time - expected) / deviation, -kMaxDeviations, kMaxDeviations);
  const double excess = std::max(1.0, std::abs(deviations) / kFullWeightDeviations);
  const knowledge time =
      knowledge::Of(expected + deviations * deviation, (variance + task_variance_) * excess * excess);
  ++worker->runs;
  const auto same = std::find_if(step.hosts.begin(), step.hosts.end(), [&worker](const step_host& host) {
    return host.worker == worker && host.changes == worker->changes;
  });
  if (same != step.hosts.end()) {
    same->log_time += time;
  } else {
    if (step.hosts.size() == kMaxStepHosts) {
      step.log_work += step.hosts.front().of_work;
      step.hosts.erase(step.hosts.begin());
    }
    step.hosts.push_back({worker, worker->changes, time, {}, {}});
    // Otherwise the earlier tasks on the same worker have already shown the error of its speed.
    if (worker->runs > kMinRuns) {
      const double clipped = std::clamp(deviations, -kMaxSpreadDeviations, kMaxSpreadDeviations);
      LearnTaskSpread(clipped * deviation, known_variance);
    }
  }
  worker->drift = kDriftDecay * worker->drift + deviations;
}

worker_speed_model::knowledge worker_speed_model::WorkOf(const step_state& step) {
  knowledge work = step.log_work;
  for (const step_host& host : step.hosts) work += host.of_work;
  return work;
}

worker_speed_model::knowledge worker_speed_model::SpeedWithout(const step_host& host) {
  knowledge speed = host.worker->log_speed;
  speed -= host.of_speed;
  // The knowledge may have faded since `host` was added to it.
  if (speed.precision >= 1 / kSpeedVariance) return speed;
  return knowledge::Of(speed.precision > 0 ? speed.Mean() : 0, kSpeedVariance);
}

void worker_speed_model::UpdateWorkers(step_state& step) {
  for (step_host& host : step.hosts) {
    if (host.changes != host.worker->changes) continue;
    const knowledge speed = SpeedWithout(host);
    host.of_work =
        knowledge::Of(host.log_time.Mean() + speed.Mean(), speed.Variance() + host.log_time.Variance());
  }
  const knowledge work = WorkOf(step);
  for (step_host& host : step.hosts) {
    if (host.changes != host.worker->changes) continue;
    knowledge others = work;
    others -= host.of_work;
    const knowledge speed = SpeedWithout(host);
    const double variance = others.Variance() + host.log_time.Variance();
    const double deviation = std::sqrt(variance + speed.Variance());
    const double expected = others.Mean() - speed.Mean();
    const double deviations =
        std::clamp((host.log_time.Mean() - expected) / deviation, -kMaxDeviations, kMaxDeviations);
    const double excess = std::max(1.0, std::abs(deviations) / kFullWeightDeviations);
    host.of_speed =
        knowledge::Of(others.Mean() - expected - deviations * deviation, variance * excess * excess);
    host.worker->log_speed = speed;
    host.worker->log_speed += host.of_speed;
    DetectChange(*host.worker);
    Publish(*host.worker);
  }
}

void worker_speed_model::DetectChange(worker_state& worker) {
  if (std::abs(worker.drift) <= kDriftLimit) return;
  worker.drift = 0;
  ++worker.changes;
  worker.assumed = worker.log_speed.Mean();
  worker.log_speed = knowledge::Of(worker.assumed, kSpeedVariance);
}

void worker_speed_model::LearnTaskSpread(double error, double known_variance) {
  // The less of the variance is known to come from elsewhere, the more the error tells about the tasks.
  const double share = task_variance_ / (task_variance_ + known_variance);
  task_variance_ += kTaskVarianceGain * share * share * (error * error - known_variance - task_variance_);
  task_variance_ = std::clamp(task_variance_, kMinTaskVariance, kMaxTaskVariance);
}

void worker_speed_model::RaiseVariance(worker_state& worker, double variance) {
  constexpr double kPriorPrecision = 1 / kSpeedVariance;
  const double precision = std::max(1 / variance, kPriorPrecision);
  const double observed = worker.log_speed.precision - kPriorPrecision;
  const double share = observed > 0 ? (precision - kPriorPrecision) / observed : 0;
  const double prior = worker.assumed * kPriorPrecision;
  worker.log_speed = {precision, prior + share * (worker.log_speed.weighted_mean - prior)};
}

void worker_speed_model::Age(worker_state& worker, boot_time now) {
  if (now <= worker.aged_at) return;
  const double share = std::chrono::duration<double>(now - worker.aged_at) / kFadeTime;
  RaiseVariance(worker, worker.log_speed.Variance() + kSpeedVariance * share);
  worker.aged_at = now;
}

void worker_speed_model::ForgetJob(const std::string& job) {
  const auto first = steps_.lower_bound(step_key{job, 0, 0});
  const auto last =
      std::find_if(first, steps_.end(), [&job](const auto& entry) { return entry.first.job != job; });
  steps_.erase(first, last);
}

bool worker_speed_model::Normalize(boot_time now) {
  if (workers_.empty() || now - normalized_at_ < kNormalizeInterval) return false;
  normalized_at_ = now;
  const double median = MedianLogSpeed();
  for (auto& [id, worker] : workers_) {
    Age(*worker, now);
    worker->log_speed.Shift(-median);
    worker->assumed -= median;
  }
  // A time depends only on the difference between log work and log speed, so both move together.
  for (auto& [key, step] : steps_) {
    step.log_work.Shift(-median);
    for (step_host& host : step.hosts) {
      host.of_work.Shift(-median);
      host.of_speed.Shift(-median);
    }
  }
  is_mixed_ = IsMixed();
  for (auto& [id, worker] : workers_) Publish(*worker);
  return true;
}

double worker_speed_model::MedianLogSpeed() const {
  std::vector<double> speeds;
  speeds.reserve(workers_.size());
  for (const auto& [id, worker] : workers_) speeds.push_back(worker->log_speed.Mean());
  // A single element in the middle would jump where half of the workers are of one speed and half of another.
  const std::size_t first = speeds.size() * 2 / 5;
  const std::size_t last = speeds.size() - first;
  std::sort(speeds.begin(), speeds.end());
  double sum = 0;
  for (std::size_t i = first; i < last; ++i) sum += speeds[i];
  return sum / static_cast<double>(last - first);
}

bool worker_speed_model::IsMixed() const {
  const auto different = std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) {
    const knowledge& speed = entry.second->log_speed;
    return entry.second->runs >= kMinRuns &&
           std::abs(speed.Mean()) >
               std::max(kClassDistance, kDeviationsIfMixed * std::sqrt(speed.Variance()));
  });
  return static_cast<double>(different) > kMixedShare * static_cast<double>(workers_.size());
}

void worker_speed_model::Publish(worker_state& worker) const {
  worker.published = {};
  // What was observed, without the assumption that the worker is like the median.
  knowledge observed = worker.log_speed;
  observed -= knowledge::Of(worker.assumed, kSpeedVariance);
  if (worker.runs < kMinRuns || observed.precision <= 0) return;
  // Where speeds differ for certain, that assumption only hides the difference.
  const knowledge& speed = is_mixed_ ? observed : worker.log_speed;
  const double deviations = is_mixed_ ? kDeviationsIfMixed : kDeviationsIfEqual;
  if (std::abs(speed.Mean()) <= std::max(kClassDistance, deviations * std::sqrt(speed.Variance()))) return;
  worker.published.factor = std::exp(std::clamp(observed.Mean(), -kMaxLogFactor, kMaxLogFactor));
  worker.published.grade = speed.Mean() < 0 ? speed_class::kSlow : speed_class::kFast;
}

worker_speed worker_speed_model::Speed(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? worker_speed{} : found->second->published;
}

double worker_speed_model::LogSpeed(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? 0 : found->second->log_speed.Mean();
}

std::vector<learned_worker> worker_speed_model::Export() const {
  std::vector<learned_worker> workers;
  for (const auto& [id, worker] : workers_) {
    workers.push_back({id, 0, worker->log_speed.Mean(), std::sqrt(worker->log_speed.Variance()), worker->runs,
                       worker->published.grade});
  }
  return workers;
}

void worker_speed_model::Restore(const learned_worker& learned, boot_time now) {
  const double variance = std::min(kSpeedVariance, learned.deviation * learned.deviation);
  if (!(variance >= kMinStoredVariance) || !(std::abs(learned.log_speed) <= kMaxStoredLogSpeed) ||
      learned.runs < 1)
    return;
  std::shared_ptr<worker_state>& worker = workers_[learned.id];
  if (worker != nullptr) return;
  worker = std::make_shared<worker_state>();
  worker->log_speed = knowledge::Of(learned.log_speed, variance);
  worker->aged_at = now;
  // More runs make no difference.
  worker->runs = std::min(learned.runs, 1'000);
}

double worker_speed_model::task_spread() const { return std::sqrt(task_variance_); }

}  // namespace hickorystall::state::pool::learning
