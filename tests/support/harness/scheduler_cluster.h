#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state/scheduling/job.h"
#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {

/// What a scheduler cluster consists of.
struct scheduler_cluster_options {
  /// Scheduler instances.
  int schedulers = 2;
  /// Workers named w1, w2, ... with 8 accelerators, 4 to a rack.
  int workers = 4;
  /// Shapes guaranteed to workspace "alpha"; workspace "beta" has no guarantee.
  nlohmann::json guarantees = nlohmann::json::array();
  /// Settings of the key "scheduler", merged over those of the harness.
  nlohmann::json scheduler = nlohmann::json::object();
};

/// A test cluster of schedulers with stand-in workers. Jobs are submitted and cancelled by inbox rows, as the
/// gateway writes them.
class scheduler_cluster {
 public:
  /// Starts everything and waits until the schedulers are ready.
  explicit scheduler_cluster(scheduler_cluster_options options = {});

  test_cluster& cluster() { return cluster_; }
  server_instance& Scheduler(int vm) { return cluster_.Instance(role::kScheduler, vm); }
  /// Number of the VM whose scheduler owns the pool by the epoch row; 0 for none.
  int OwnerVm();
  /// Waits until a scheduler other than number `vm` owns the pool and returns its number; 0 after `timeout`.
  int WaitForOtherOwner(int vm, std::chrono::milliseconds timeout);

  /// Submits a job of `workspace`; `spec` is merged over one member with one accelerator. Returns its id.
  std::string Submit(const std::string& workspace, const nlohmann::json& spec);
  /// Submits `count` equal jobs in one transaction.
  std::vector<std::string> SubmitMany(const std::string& workspace, const nlohmann::json& spec, int count);
  /// Requests the cancel of all `ids` in one transaction.
  void Cancel(const std::vector<std::string>& ids);
  /// Reads the job's row; nothing while there is none.
  std::optional<state::job_record> Job(const std::string& id);
  /// Waits until the job is in `wanted`.
  bool WaitForState(const std::string& id, state::job_state wanted, std::chrono::milliseconds timeout);
  /// Waits until all jobs submitted so far are final.
  bool WaitForAllFinal(std::chrono::milliseconds timeout);
  /// Number of jobs in each state, by the table.
  std::map<std::string, int> CountStates();
  /// Number of rows whose key starts with `prefix`.
  std::size_t CountRows(const std::string& prefix);

  /// Sets faults of a worker; "*" for all.
  void SetFaults(const std::string& worker, const nlohmann::json& faults);
  /// Makes a worker lose all its tasks.
  void RestartWorker(const std::string& worker);
  /// Log of the workers.
  nlohmann::json WorkerLog();
  /// When a member of the job first worked; nothing when it never did.
  std::optional<std::chrono::steady_clock::time_point> FirstWorkTime(const std::string& id);
  /// Violations of invariant I2 so far; see FindGangViolations.
  std::vector<std::string> Violations(std::chrono::milliseconds partial_limit);
  /// Longest time in a row for which some members of a gang worked and others did not.
  std::chrono::microseconds LongestPartialRun();
  /// The scheduler's part of the dump.
  nlohmann::json Dump(int vm);
  /// Applies the configuration again without its last worker.
  void RemoveLastWorker();

  /// Seed of the test's random choices, from HICKORYSTALL_SEED or chosen at random, and the generator.
  unsigned seed() const { return seed_; }
  std::mt19937& random() { return random_; }

 private:
  nlohmann::json MakeConfig(const scheduler_cluster_options& options);
  nlohmann::json MakeJobRow(const std::string& id, const std::string& workspace, const nlohmann::json& spec);
  std::vector<nlohmann::json> ScanRows(const std::string& prefix);
  void Transact(const nlohmann::json& puts);

  const unsigned seed_;
  std::mt19937 random_;
  test_cluster cluster_;
  int control_port_ = 0;
  nlohmann::json config_;
  std::map<std::string, int> worker_ports_;
  std::map<std::string, int> members_;
  int next_job_ = 0;
};

}  // namespace hickorystall::harness
