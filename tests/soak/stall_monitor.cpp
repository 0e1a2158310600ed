#include "soak/stall_monitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "coordination/pool/pool_codec.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)

std::optional<ready_unit> FindReadyUnit(const job_submission& submission, std::string_view progress) {
  job_entry job;
  job.submission = submission;
  const bool is_readable = coordination::pool::RestoreProgress(progress, "", job).ok();
  if (!is_readable || IsFinal(job.phase)) return std::nullopt;
  // The owner creates the occurrence, and stores it with the first start.
  const occurrence_progress occurrence =
      job.occurrences.contains(0) ? job.occurrences.at(0) : MakeOccurrence(submission.request);
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const step_request& request = submission.request.steps[i];
    const bool is_ready = std::all_of(request.after.begin(), request.after.end(),
                                      [&](int earlier) { return occurrence.steps[earlier].open_units == 0; });
    if (!is_ready) continue;
    for (const work_unit& unit : occurrence.steps[i].units) {
      if (unit.done) continue;
      const auto members = static_cast<std::int64_t>(unit.members.size());
      return ready_unit{TaskName(submission.id, 0, static_cast<int>(i), unit.first_task),
                        static_cast<int>(request.need.accelerators * members)};
    }
  }
  return std::nullopt;
}

bool HasAmpleCapacity(const std::vector<worker_view>& workers, int need) {
  int used = 0;
  int capacity = 0;
  for (const worker_view& worker : workers) {
    used += worker.used;
    capacity += worker.capacity;
  }
  return capacity - used >= 2 * need && 2 * used < capacity;
}

void stall_monitor::Update(const std::map<std::string, std::string>& standing, boot_time now) {
  for (auto entry = intervals_.begin(); entry != intervals_.end();) {
    if (standing.contains(entry->first)) {
      ++entry;
      continue;
    }
    End(entry->first, entry->second, now);
    entry = intervals_.erase(entry);
  }
  for (const auto& [job, description] : standing) {
    interval& entry = intervals_.try_emplace(job, interval{now, ""}).first->second;
    if (entry.description.empty() && now - entry.begin > bound_) entry.description = description;
  }
}

void stall_monitor::End(const std::string& job, const interval& entry, boot_time now) {
  if (entry.description.empty()) return;
  reports_.push_back(absl::StrCat("stands still: job ", job, " from ", (entry.begin - origin_).count(),
                                  " to ", (now - origin_).count(), " ms, ", entry.description));
}

std::vector<std::string> stall_monitor::Finish(boot_time now) {
  Update({}, now);
  return reports_;
}

}  // namespace hickorystall::tests
