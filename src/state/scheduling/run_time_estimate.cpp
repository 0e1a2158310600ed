#include "state/scheduling/run_time_estimate.h"

#include <algorithm>

#include "state/text.h"

namespace hickorystall::state {
namespace {

/// Estimate for a job that declares no run time. At the cluster size that the scheduler is designed for, most
/// jobs run for hours.
constexpr std::chrono::milliseconds kDefaultRunTime{3600000};
/// Finished runs of a kind that are required before their mean ratio corrects declared run times.
constexpr int kMinSamples = 3;
/// Time of a checkpoint, for which a worker gets one second. It counts as lost.
constexpr std::chrono::milliseconds kCheckpointTime{1000};
/// Fraction of the running time that counts as lost although a checkpoint is expected, because it may time
/// out.
constexpr double kCheckpointRisk = 0.01;

}  // namespace

std::chrono::milliseconds EstimateRunTime(const scheduling_snapshot& snapshot, const job_record& job,
                                          bool use_learned) {
  const std::chrono::milliseconds declared =
      job.spec.run_time.count() > 0 ? job.spec.run_time : kDefaultRunTime;
  if (!use_learned) return declared;
  const auto learned = snapshot.learned.find(StrCat(job.workspace, '/', job.spec.kind));
  if (learned == snapshot.learned.end() || learned->second.samples < kMinSamples) return declared;
  const double corrected = static_cast<double>(declared.count()) * learned->second.run_time_ratio;
  return std::chrono::milliseconds(std::max<std::int64_t>(1, static_cast<std::int64_t>(corrected)));
}

std::chrono::milliseconds EstimateRemaining(const job_record& job, std::chrono::milliseconds run_time,
                                            wall_time now) {
  std::chrono::milliseconds done = job.preserved;
  if (HoldsWorkers(job.state)) done += std::max(now - job.started_at, std::chrono::milliseconds(0));
  return done < run_time ? run_time - done : std::max(done / 2, std::chrono::milliseconds(1));
}

double WorkLostByReclaim(const job_record& job, wall_time now) {
  const int width = std::max(job.spec.accelerators, job.spec.accelerators == 0 ? job.spec.processors : 0);
  const double size = static_cast<double>(job.spec.members) * width;
  const double running = static_cast<double>(std::max<std::int64_t>(0, (now - job.started_at).count()));
  if (!job.spec.may_checkpoint) return size * running;
  return size * (static_cast<double>(kCheckpointTime.count()) + kCheckpointRisk * running);
}

}  // namespace hickorystall::state
