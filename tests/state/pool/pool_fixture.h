#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "state/pool/pool_plan.h"
#include "state/pool/pool_state.h"

namespace hickorystall::tests {

/// A pool of workers with 8 accelerators and 128 cores, two racks, at a time that only tests move.
class pool_fixture {
 public:
  /// Adds `workers` workers, every `rack_size` of them in one rack, all known, in touch and empty. Patient
  /// work leaves the share `headroom` free.
  explicit pool_fixture(int workers = 4, int rack_size = 2, std::int64_t epoch = 1, double headroom = 0);

  /// Submits a job of one step.
  void Submit(const std::string& id, const state::pool::step_request& step, int priority = 1,
              const std::string& workspace = "w");
  /// Loads a job of one step whose unit is recorded as started as `run` on `workers` by an earlier owner.
  void SubmitRecorded(const std::string& id, const state::pool::step_request& step, std::int64_t run,
                      const std::set<std::string>& workers);
  /// Plans once and applies the plan. Returns the orders that follow.
  std::vector<state::pool::worker_order> Plan();
  /// Confirms the starts of `orders`.
  void Accept(const std::vector<state::pool::worker_order>& orders);
  /// Reads the lists of `worker`.
  void List(const std::string& worker, std::vector<state::pool::listed_run> running,
            std::vector<state::pool::listed_end> finished = {});
  /// Moves the time on.
  void Pass(std::chrono::milliseconds time) { now += time; }
  /// Id of worker number `index`.
  static std::string Worker(int index) { return "worker-" + std::to_string(index); }
  /// A step of `tasks` tasks with one core and `accelerators` each.
  static state::pool::step_request Step(int tasks, int accelerators, bool gang = false);

  state::pool::pool_state state;
  state::pool::boot_time now{std::chrono::seconds(1000)};
  state::pool::unix_time wall_now{std::chrono::seconds(2000)};
};

}  // namespace hickorystall::tests
