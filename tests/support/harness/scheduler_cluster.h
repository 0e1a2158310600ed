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

/// Size, guarantees and settings of a scheduler cluster.
struct scheduler_cluster_options {
  /// Scheduler instances, each on a VM of its own.
  int schedulers = 2;
  /// Workers, named w1, w2, ...; each has 8 accelerators, and each rack holds 4 workers.
  int workers = 4;
  /// Shapes guaranteed to workspace "alpha", as in the configuration document. Workspace "beta" has none.
  nlohmann::json guarantees = nlohmann::json::array();
  /// Settings of the key "scheduler", merged over the harness's own (RFC 7396).
  nlohmann::json scheduler = nlohmann::json::object();
};

/// A test cluster of schedulers with stand-in workers. There is no gateway: jobs are submitted and cancelled
/// by the inbox rows that a gateway would write.
class scheduler_cluster {
 public:
  /// Starts all processes, applies the configuration and waits until the schedulers are ready. Throws
  /// std::runtime_error when they do not become ready.
  explicit scheduler_cluster(scheduler_cluster_options options = {});

  test_cluster& cluster() { return cluster_; }
  /// The scheduler on VM number `vm`, from 1.
  server_instance& Scheduler(int vm) { return cluster_.Instance(role::kScheduler, vm); }
  /// Returns the number of the VM whose scheduler owns the pool according to the epoch row; 0 when the row is
  /// absent or the pool was released.
  int OwnerVm();
  /// Waits until a scheduler on another VM than number `vm` owns the pool. Returns that VM's number; 0 after
  /// `timeout`.
  int WaitForOtherOwner(int vm, std::chrono::milliseconds timeout);

  /// Submits a job of `workspace` and returns its id. `spec` is merged over a default of one member with one
  /// accelerator that runs for 1 s.
  std::string Submit(const std::string& workspace, const nlohmann::json& spec);
  /// Submits `count` equal jobs in one transaction and returns their ids.
  std::vector<std::string> SubmitMany(const std::string& workspace, const nlohmann::json& spec, int count);
  /// Requests the cancellation of all `ids` in one transaction.
  void Cancel(const std::vector<std::string>& ids);
  /// Reads the job's row; nothing while it is absent or cannot be decoded.
  std::optional<state::job_record> Job(const std::string& id);
  /// Waits until the job's row is in state `wanted`. Returns false after `timeout`.
  bool WaitForState(const std::string& id, state::job_state wanted, std::chrono::milliseconds timeout);
  /// Waits until all jobs submitted so far are in a final state. Returns false after `timeout`.
  bool WaitForAllFinal(std::chrono::milliseconds timeout);
  /// Returns the number of jobs in each state, by the state's name, counted over the rows of the pool's jobs.
  std::map<std::string, int> CountStates();
  /// Returns the number of rows whose key starts with `prefix`.
  std::size_t CountRows(const std::string& prefix);

  /// Sets the faults that a stand-in worker injects; "*" means all workers.
  void SetFaults(const std::string& worker, const nlohmann::json& faults);
  /// Simulates a restart of the worker's process, which loses all its tasks.
  void RestartWorker(const std::string& worker);
  /// Returns the log of all stand-in workers (GET /v1/log).
  nlohmann::json WorkerLog();
  /// Returns when a member of the job first worked; nothing when none ever did.
  std::optional<std::chrono::steady_clock::time_point> FirstWorkTime(const std::string& id);
  /// Returns the violations of invariant I2 so far; see FindGangViolations.
  std::vector<std::string> Violations(std::chrono::milliseconds partial_limit);
  /// Returns the longest uninterrupted time during which some members of a gang worked and others did not.
  std::chrono::microseconds LongestPartialRun();
  /// Returns the member "scheduler" of the dump of the scheduler on VM number `vm`; empty when it cannot be
  /// read.
  nlohmann::json Dump(int vm);
  /// Applies the configuration without its last worker as the next version and waits until all running
  /// schedulers have it. Throws std::runtime_error when they do not.
  void RemoveLastWorker();

  /// Seed of random(): the environment variable HICKORYSTALL_SEED, or a random number when it is not set.
  unsigned seed() const { return seed_; }
  /// Generator for the test's random choices.
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
