#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorystall::state::pool {

/// Amounts of the resource kinds that a task needs or a worker offers.
struct resources {
  /// CPU in thousandths of a core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
  /// Number of accelerators.
  std::int64_t accelerators = 0;

  /// Returns whether `other` fits into this capacity.
  bool Covers(const resources& other) const {
    return other.cpu_millis <= cpu_millis && other.memory_mib <= memory_mib &&
           other.accelerators <= accelerators;
  }
  resources& operator+=(const resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  friend bool operator==(const resources&, const resources&) = default;
};

/// One step of a job: identical tasks that become ready together.
struct step_request {
  int task_count = 1;
  /// Resources needed by each task.
  resources need;
  /// Run time of one task as declared by the client; may be wrong by a large factor.
  std::chrono::milliseconds estimate{0};
  /// Numbers of the earlier steps that must be done before this one becomes ready.
  std::vector<int> after;
  /// True if a task can resume from a checkpoint.
  bool checkpointable = false;
  /// True if the tasks run all together or not at all.
  bool gang = false;
  /// True if the tasks take several times as long when they are spread over more than one rack.
  bool same_rack = false;
  /// Label that a worker must have; empty if any worker will do.
  std::string required_label;
  /// Rack that holds the input; a task takes several times as long on any other rack. Empty if there is none.
  std::string data_rack;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  int max_per_worker = 0;
};

/// A job as submitted by a client.
struct job_request {
  /// Opaque text that is passed to the workers.
  std::string payload;
  /// Indexed by step number.
  std::vector<step_request> steps;
  /// Number of scheduled occurrences; 0 for a job that runs once and immediately.
  int occurrences = 0;
  /// Due time of the first occurrence, since the Unix epoch.
  std::chrono::milliseconds first_due{0};
  /// Time between the due times of consecutive occurrences.
  std::chrono::milliseconds interval{0};
};

/// Returns why `request` is invalid, or an empty string if it is valid.
std::string ExplainInvalid(const job_request& request);

}  // namespace hickorystall::state::pool
