#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorystall::state::pool {

/// Capacity that one task takes or one worker has.
struct resources {
  /// Thousandths of a core.
  std::int64_t cpu_millis = 0;
  /// Memory in MiB.
  std::int64_t memory_mib = 0;
  /// Accelerators.
  std::int64_t accelerators = 0;

  /// True when `other` fits into this capacity.
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

/// One step of a job: tasks of one shape that become ready together.
struct step_request {
  /// Number of tasks.
  int task_count = 1;
  /// Capacity that each task takes.
  resources need;
  /// Declared run time of one task; may be far off.
  std::chrono::milliseconds estimate{0};
  /// Numbers of the earlier steps whose tasks must all be done first.
  std::vector<int> after;
  /// True when a task can continue from a checkpoint.
  bool checkpointable = false;
  /// True when the tasks run all together or not at all.
  bool gang = false;
  /// True when the tasks run several times longer on more than one rack.
  bool same_rack = false;
  /// Label that a worker must have; empty for any.
  std::string required_label;
  /// Rack where the input is; a task runs several times longer on any other. Empty for none.
  std::string data_rack;
  /// Largest number of tasks of the step on one worker; 0 for no limit.
  int max_per_worker = 0;
};

/// What a client submits.
struct job_request {
  /// Opaque text that the workers get.
  std::string payload;
  /// Steps in the order of their numbers.
  std::vector<step_request> steps;
  /// Number of scheduled occurrences; 0 for a job that runs once, at once.
  int occurrences = 0;
  /// Due time of the first occurrence, since 1970.
  std::chrono::milliseconds first_due{0};
  /// Time between the due times of two occurrences.
  std::chrono::milliseconds interval{0};
};

/// Returns why `request` is malformed, or an empty string.
std::string ExplainInvalid(const job_request& request);

}  // namespace hickorystall::state::pool
