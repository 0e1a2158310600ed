#include "state/scheduling/queue_order.h"

#include <algorithm>
#include <tuple>

namespace hickorystall::state {
namespace {

/// Run times below this one count as equally short.
constexpr std::chrono::milliseconds kShortestRunTime{1000};

/// Sort key of a queued job; the lowest comes first.
struct order_key {
  /// Class of the job; see OrderByResponseRatio.
  int rank = 0;
  /// Order within the class.
  double score = 0;
  /// Position in the queue before sorting.
  std::size_t index = 0;
};

/// Returns the time until the job must start to meet its deadline; negative when it is too late.
std::chrono::milliseconds Slack(const queued_job& entry, wall_time now) {
  return entry.job->submitted_at + entry.job->spec.deadline - now - entry.remaining;
}

/// True when a job must start soon to meet its deadline. A job that can no longer meet it gets no precedence,
/// since it would gain nothing.
bool IsDeadlineNear(const queued_job& entry, wall_time now) {
  if (entry.job->spec.deadline.count() <= 0) return false;
  const std::chrono::milliseconds slack = Slack(entry, now);
  return slack.count() >= 0 && slack < entry.remaining;
}

/// Returns the sort key of `entry`, which is at `index` in the queue.
order_key KeyOf(const queued_job& entry, wall_time now, std::size_t index) {
  const std::chrono::milliseconds waited =
      std::max(now - entry.job->submitted_at, std::chrono::milliseconds(0));
  const double ratio = ResponseRatio(entry, now);
  if (entry.guaranteed) return {entry.job->spec.urgent ? 0 : 1, -ratio, index};
  if (entry.job->spec.urgent) return {2, -static_cast<double>(waited.count()), index};
  if (IsDeadlineNear(entry, now)) return {3, static_cast<double>(Slack(entry, now).count()), index};
  return {4, -ratio, index};
}

}  // namespace

double ResponseRatio(const queued_job& entry, wall_time now) {
  const std::chrono::milliseconds waited =
      std::max(now - entry.job->submitted_at, std::chrono::milliseconds(0));
  const double run_time = static_cast<double>(std::max(entry.remaining, kShortestRunTime).count());
  return static_cast<double>((waited + kShortestRunTime).count()) / run_time;
}

void OrderByAge(std::vector<queued_job>& queue, wall_time /*now*/) {
  std::stable_sort(queue.begin(), queue.end(), [](const queued_job& a, const queued_job& b) {
    return std::tie(a.job->submitted_at, a.job->id) < std::tie(b.job->submitted_at, b.job->id);
  });
}

void OrderByResponseRatio(std::vector<queued_job>& queue, wall_time now) {
  OrderByAge(queue, now);
  std::vector<order_key> keys;
  keys.reserve(queue.size());
  for (std::size_t i = 0; i < queue.size(); ++i) keys.push_back(KeyOf(queue[i], now, i));
  std::sort(keys.begin(), keys.end(), [](const order_key& a, const order_key& b) {
    return std::tie(a.rank, a.score, a.index) < std::tie(b.rank, b.score, b.index);
  });
  std::vector<queued_job> sorted;
  sorted.reserve(queue.size());
  for (const order_key& key : keys) sorted.push_back(queue[key.index]);
  queue.swap(sorted);
}

}  // namespace hickorystall::state
