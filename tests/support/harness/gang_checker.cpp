#include "tests/support/harness/gang_checker.h"

#include <algorithm>
#include <set>

namespace hickorystall::harness {

using nlohmann::json;
using std::chrono::microseconds;

namespace {

// An entry of the log: one member started or stopped working.
struct member_event {
  microseconds at{0};
  std::string job;
  int attempt = 0;
  int member = 0;
  bool working = false;
  bool finished = false;
  std::string worker;
  std::vector<int> accelerators;
};

member_event ParseEvent(const json& entry) {
  member_event event;
  event.at = microseconds(entry.at("at_us").get<std::int64_t>());
  // A lease id is JOB.ATTEMPT.MEMBER.
  const std::string lease = entry.at("lease");
  const std::size_t member_dot = lease.rfind('.');
  const std::size_t attempt_dot = lease.rfind('.', member_dot - 1);
  event.job = lease.substr(0, attempt_dot);
  event.attempt = std::stoi(lease.substr(attempt_dot + 1));
  event.member = std::stoi(lease.substr(member_dot + 1));
  event.working = entry.at("working");
  event.finished = entry.at("state") == "finished";
  event.worker = entry.at("worker");
  event.accelerators = entry.at("accelerators").get<std::vector<int>>();
  return event;
}

std::vector<member_event> SortedEvents(const json& log) {
  std::vector<member_event> events;
  for (const json& entry : log.at("events")) events.push_back(ParseEvent(entry));
  // At equal times ends sort before starts, so that back-to-back tasks do not count as simultaneous.
  std::stable_sort(events.begin(), events.end(), [](const member_event& a, const member_event& b) {
    return a.at != b.at ? a.at < b.at : a.working < b.working;
  });
  return events;
}

// Tracks which members of each attempt work while the events are applied in order of time.
class gang_replay {
 public:
  explicit gang_replay(const std::map<std::string, int>& members) : members_(members) {}

  void Apply(const member_event& event) {
    attempt_state& attempt = attempts_[{event.job, event.attempt}];
    if (attempt.partial) RecordPartialRun(event.job, event.attempt, event.at - attempt.partial_since);
    if (event.working) {
      attempt.working.insert(event.member);
    } else {
      attempt.working.erase(event.member);
    }
    if (event.finished) attempt.finished.insert(event.member);
    const auto gang_size = static_cast<std::size_t>(members_.at(event.job));
    const bool partial =
        !attempt.working.empty() && attempt.working.size() + attempt.finished.size() < gang_size;
    if (partial && !attempt.partial) attempt.partial_since = event.at;
    attempt.partial = partial;
    CheckOverlap(event);
    CheckAccelerators(event);
  }

  // The longest uninterrupted partial run of each attempt, by job and attempt. Attempts without one are
  // absent.
  const std::map<std::pair<std::string, int>, microseconds>& longest_partial_runs() const {
    return longest_partial_runs_;
  }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct attempt_state {
    std::set<int> working;
    std::set<int> finished;
    bool partial = false;
    microseconds partial_since{0};
  };

  void RecordPartialRun(const std::string& job, int attempt, microseconds length) {
    microseconds& longest = longest_partial_runs_[{job, attempt}];
    longest = std::max(longest, length);
  }

  void CheckOverlap(const member_event& event) {
    if (!event.working) return;
    for (auto other = attempts_.lower_bound({event.job, 0});
         other != attempts_.end() && other->first.first == event.job; ++other) {
      if (other->first.second == event.attempt || other->second.working.empty()) continue;
      violations_.push_back("job " + event.job + ": attempts " + std::to_string(event.attempt) + " and " +
                            std::to_string(other->first.second) + " worked at the same time");
    }
  }

  void CheckAccelerators(const member_event& event) {
    for (const int accelerator : event.accelerators) {
      int& tasks = task_counts_[{event.worker, accelerator}];
      tasks += event.working ? 1 : -1;
      if (tasks > 1) {
        violations_.push_back("accelerator " + std::to_string(accelerator) + " of " + event.worker +
                              " was used by two tasks at the same time, one of them of job " + event.job);
      }
    }
  }

  const std::map<std::string, int>& members_;
  std::map<std::pair<std::string, int>, attempt_state> attempts_;
  std::map<std::pair<std::string, int>, microseconds> longest_partial_runs_;
  std::map<std::pair<std::string, int>, int> task_counts_;
  std::vector<std::string> violations_;
};

gang_replay Replay(const json& log, const std::map<std::string, int>& members) {
  gang_replay replay(members);
  for (const member_event& event : SortedEvents(log)) replay.Apply(event);
  return replay;
}

}  // namespace

std::vector<std::string> FindGangViolations(const json& log, const std::map<std::string, int>& members,
                                            std::chrono::milliseconds partial_limit) {
  const gang_replay replay = Replay(log, members);
  std::vector<std::string> violations = replay.violations();
  for (const auto& [attempt, length] : replay.longest_partial_runs()) {
    if (length <= partial_limit) continue;
    violations.push_back("job " + attempt.first + " attempt " + std::to_string(attempt.second) +
                         " ran with only part of its gang for " + std::to_string(length.count() / 1000) +
                         " ms");
  }
  return violations;
}

microseconds LongestPartialRun(const json& log, const std::map<std::string, int>& members) {
  microseconds longest{0};
  const gang_replay replay = Replay(log, members);
  for (const auto& [attempt, length] : replay.longest_partial_runs()) longest = std::max(longest, length);
  return longest;
}

}  // namespace hickorystall::harness
