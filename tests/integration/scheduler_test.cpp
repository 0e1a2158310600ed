#include <signal.h>

#include <catch2/catch.hpp>
#include <iostream>
#include <thread>

#include "tests/support/harness/scheduler_cluster.h"

namespace hickorystall::harness {
namespace {

using nlohmann::json;
using state::job_state;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Longest time for which part of a gang may run alone: the watch delay plus one command timeout, for a worker
// that responds (docs/design.md, section 5.3).
constexpr milliseconds kPartialRunLimit{2000};
// Time that is added where the owner is killed: the term of the pool lease, the challenge, loading the pool
// and the next decision.
constexpr milliseconds kTakeoverLimit{3500};
// Time within which urgent work must start.
constexpr milliseconds kUrgentStartLimit{4300};

const json kGang = {{"members", 3}, {"accelerators", 4}, {"run_time_ms", 1500}};

// Returns the worker on which a member of the job is placed.
std::string WorkerOf(scheduler_cluster& system, const std::string& id, std::size_t member) {
  const auto job = system.Job(id);
  REQUIRE(job.has_value());
  REQUIRE(job->placement.size() > member);
  return job->placement[member].vm;
}

void CheckNoViolations(scheduler_cluster& system, milliseconds limit) {
  const std::vector<std::string> violations = system.Violations(limit);
  INFO(json(violations).dump(1));
  CHECK(violations.empty());
  std::cout << "longest partial run of a gang: " << system.LongestPartialRun().count() << " us" << std::endl;
}

milliseconds RandomDelay(scheduler_cluster& system, int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(0, max_ms)(system.random()));
}

// Guards against gangs that start member by member, and against jobs that never finish.
TEST_CASE("a gang starts whole and finishes", "[scheduler]") {
  scheduler_cluster system;
  const std::string id = system.Submit("beta", kGang);
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(15)));
  CHECK(system.Job(id)->attempt == 1);
  CheckNoViolations(system, kPartialRunLimit);
}

// Guards against a gang that continues without a member whose worker restarted, or that is not started again.
TEST_CASE("a gang that loses a member is stopped whole and started again", "[scheduler]") {
  // With a wait of 5 s, the loss is detected in time only from the list that the restart causes, not from the
  // one at the end of the wait.
  scheduler_cluster_options options;
  options.scheduler = {{"worker_wait_ms", 5000}};
  scheduler_cluster system(options);
  const std::string id = system.Submit("beta", {{"members", 3}, {"accelerators", 4}, {"run_time_ms", 3000}});
  REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(10)));
  std::this_thread::sleep_for(RandomDelay(system, 500));
  system.RestartWorker(WorkerOf(system, id, 1));
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(20)));
  CHECK(system.Job(id)->attempt == 2);
  CheckNoViolations(system, kPartialRunLimit);
}

// Guards against a gang of which some members run while the start of another was lost.
TEST_CASE("a gang waits for a member whose start was lost", "[scheduler]") {
  scheduler_cluster system;
  system.SetFaults("w1", {{"lose_starts", 1}});
  system.SetFaults("w2", {{"lose_starts", 3}});
  const std::string id = system.Submit("beta", {{"members", 4}, {"accelerators", 8}, {"run_time_ms", 3000}});
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(60)));
  // No worker loses the commands that raise the shares, so the members start together.
  CheckNoViolations(system, kPartialRunLimit / 2);
}

// Guards against a gang that continues while one worker is unreachable, and against two attempts that run at
// once: the unreachable worker runs its member until the lease expires.
TEST_CASE("a gang is held while a worker is unreachable and placed again after its lease", "[scheduler]") {
  scheduler_cluster system;
  const std::string id = system.Submit("beta", {{"members", 3}, {"accelerators", 4}, {"run_time_ms", 5000}});
  REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(10)));
  const std::string unreachable = WorkerOf(system, id, 0);
  system.SetFaults(unreachable, {{"silent", true}});
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(60)));
  CHECK(system.Job(id)->attempt >= 2);
  // The member on the unreachable worker runs alone until its lease of 4 s expires.
  CheckNoViolations(system, milliseconds(4000) + kPartialRunLimit);
}

// Guards against gangs that stay partially started after their owner was killed.
TEST_CASE("a successor completes the gangs of an owner that was killed", "[scheduler]") {
  scheduler_cluster system;
  for (int round = 0; round < 2; ++round) {
    const int owner = system.OwnerVm();
    REQUIRE(owner != 0);
    system.SubmitMany("beta", {{"members", 2}, {"accelerators", 4}, {"run_time_ms", 1200}}, 6);
    std::this_thread::sleep_for(RandomDelay(system, 600));
    system.Scheduler(owner).program->Kill();
    REQUIRE(system.WaitForOtherOwner(owner, seconds(10)) != 0);
    system.cluster().Start(system.Scheduler(owner));
  }
  REQUIRE(system.WaitForAllFinal(seconds(40)));
  CHECK(system.CountStates()["finished"] == 12);
  // An owner killed between two of the commands that raise the shares leaves a gang running in part until the
  // takeover.
  CheckNoViolations(system, kPartialRunLimit + kTakeoverLimit);
}

// Guards against an owner that still makes decisions or writes after a pause longer than its lease.
TEST_CASE("an owner that was paused longer than its lease makes no more changes", "[scheduler]") {
  scheduler_cluster system;
  const int owner = system.OwnerVm();
  REQUIRE(owner != 0);
  system.SubmitMany("beta", {{"members", 2}, {"accelerators", 4}, {"run_time_ms", 1500}}, 8);
  std::this_thread::sleep_for(RandomDelay(system, 400));
  system.Scheduler(owner).program->Signal(SIGSTOP);
  const int successor = system.WaitForOtherOwner(owner, seconds(10));
  CHECK(successor != 0);
  std::this_thread::sleep_for(milliseconds(300));
  system.Scheduler(owner).program->Signal(SIGCONT);
  REQUIRE(system.WaitForAllFinal(seconds(40)));
  CHECK(system.OwnerVm() == successor);
  CHECK(system.CountStates()["finished"] == 8);
  CheckNoViolations(system, kPartialRunLimit + kTakeoverLimit);
}

// Fills all accelerators with jobs of workspace "beta" that run far longer than the test.
std::vector<std::string> FillCluster(scheduler_cluster& system) {
  const json filler = {{"accelerators", 4}, {"run_time_ms", 600000}, {"may_checkpoint", true}};
  std::vector<std::string> ids = system.SubmitMany("beta", filler, 8);
  for (const std::string& id : ids) REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(15)));
  return ids;
}

scheduler_cluster_options MakeGuaranteeOptions() {
  scheduler_cluster_options options;
  options.guarantees = {{{"members", 2}, {"accelerators", 8}, {"adjacency", "rack"}}};
  return options;
}

const json kUrgentGang = {{"members", 2},       {"accelerators", 8}, {"adjacency", "rack"},
                          {"run_time_ms", 500}, {"urgent", true},    {"may_wait", false}};

// Submits the guaranteed gang and returns the time until its first member worked. Kills the owner after
// `kill_owner_after` unless that is negative.
milliseconds StartUrgentGang(scheduler_cluster& system, milliseconds kill_owner_after = milliseconds(-1)) {
  const auto submitted = steady_clock::now();
  const std::string id = system.Submit("alpha", kUrgentGang);
  if (kill_owner_after >= milliseconds(0)) {
    const int owner = system.OwnerVm();
    std::this_thread::sleep_for(kill_owner_after);
    system.Scheduler(owner).program->Kill();
  }
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(30)));
  const auto first = system.FirstWorkTime(id);
  REQUIRE(first.has_value());
  const auto waited = std::chrono::duration_cast<milliseconds>(*first - submitted);
  std::cout << "the guaranteed gang started to work after " << waited.count() << " ms" << std::endl;
  return waited;
}

// Guards against borrowed capacity that is not reclaimed in time, and against losing work that had a
// checkpoint.
TEST_CASE("a guaranteed gang reclaims its capacity", "[scheduler]") {
  scheduler_cluster system(MakeGuaranteeOptions());
  const std::vector<std::string> fillers = FillCluster(system);
  const milliseconds waited = StartUrgentGang(system);
  CHECK(waited <= kUrgentStartLimit);
  int preserved = 0;
  for (const std::string& id : fillers) preserved += system.Job(id)->preserved > milliseconds(0) ? 1 : 0;
  CHECK(preserved == 4);
  CheckNoViolations(system, kPartialRunLimit);
}

// Guards against a reclaim that is blocked by a worker that never replies to a checkpoint call.
TEST_CASE("a worker that ignores checkpoints does not delay a guarantee", "[scheduler]") {
  scheduler_cluster system(MakeGuaranteeOptions());
  FillCluster(system);
  system.SetFaults("*", {{"ignore_checkpoint", true}});
  const milliseconds waited = StartUrgentGang(system);
  CHECK(waited <= kUrgentStartLimit);
  CheckNoViolations(system, kPartialRunLimit);
}

// Guards against a reclaim that is abandoned when its owner is killed.
TEST_CASE("a successor completes the reclaim of an owner that was killed", "[scheduler]") {
  scheduler_cluster system(MakeGuaranteeOptions());
  FillCluster(system);
  system.SetFaults("*", {{"ignore_checkpoint", true}});
  const milliseconds waited = StartUrgentGang(system, RandomDelay(system, 900));
  CHECK(waited <= kUrgentStartLimit + kTakeoverLimit);
  CheckNoViolations(system, kPartialRunLimit + kTakeoverLimit);
}

// Guards against accepted jobs that exist only in the memory of the schedulers.
TEST_CASE("accepted jobs survive the loss of all instances at once", "[scheduler]") {
  scheduler_cluster system;
  system.SubmitMany("beta", {{"accelerators", 2}, {"run_time_ms", 1500}}, 30);
  std::this_thread::sleep_for(RandomDelay(system, 1500));
  for (int vm = 1; vm <= 2; ++vm) system.Scheduler(vm).program->Kill();
  system.SubmitMany("beta", {{"accelerators", 2}, {"run_time_ms", 300}}, 10);
  for (int vm = 1; vm <= 2; ++vm) system.cluster().Start(system.Scheduler(vm));
  REQUIRE(system.WaitForAllFinal(seconds(40)));
  CHECK(system.CountStates()["finished"] == 40);
  CHECK(system.CountRows("inbox/") == 0);
  CheckNoViolations(system, kPartialRunLimit + kTakeoverLimit);
}

// Guards against task leases that are renewed only while the store responds. The outage lasts five terms of a
// task lease.
TEST_CASE("running tasks survive a store outage of 20 seconds", "[scheduler]") {
  scheduler_cluster system;
  const std::string id = system.Submit("beta", {{"members", 3}, {"accelerators", 4}, {"run_time_ms", 24000}});
  REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(10)));
  system.cluster().ControlPlatform({{"mode", "down"}, {"duration_ms", 20000}});
  std::this_thread::sleep_for(seconds(20));
  REQUIRE(system.WaitForState(id, job_state::kFinished, seconds(30)));
  CHECK(system.Job(id)->attempt == 1);
  CheckNoViolations(system, kPartialRunLimit);
}

// Guards against cancellations that are lost, applied twice or written one by one: 1,000 single transactions
// would exceed the several hundred writes a second that the platform takes.
TEST_CASE("every job of a mass cancellation ends exactly once", "[scheduler]") {
  scheduler_cluster system;
  const json spec = {{"accelerators", 1}, {"run_time_ms", 400}};
  std::vector<std::string> ids;
  for (int batch = 0; batch < 4; ++batch) {
    const auto more = system.SubmitMany("beta", spec, 250);
    ids.insert(ids.end(), more.begin(), more.end());
  }
  REQUIRE(WaitUntil([&] { return system.CountRows("inbox/") == 0; }, seconds(20)));
  const auto writes_before = system.cluster().PlatformReport().at("transactions").get<int>();
  for (std::size_t batch = 0; batch < 4; ++batch) {
    const auto begin = ids.begin() + static_cast<std::ptrdiff_t>(batch * 250);
    system.Cancel({begin, begin + 250});
  }
  REQUIRE(WaitUntil([&] { return system.CountRows("inbox/") == 0; }, seconds(20)));
  REQUIRE(system.WaitForAllFinal(seconds(30)));
  std::map<std::string, int> counts = system.CountStates();
  INFO(json(counts).dump());
  CHECK(counts["finished"] + counts["cancelled"] == 1000);
  CHECK(counts["cancelled"] >= 500);
  const auto writes = system.cluster().PlatformReport().at("transactions").get<int>() - writes_before;
  CHECK(writes < 500);
  // A cancelled job must not start later.
  const std::size_t events = system.WorkerLog().at("events").size();
  std::this_thread::sleep_for(seconds(1));
  CHECK(system.WorkerLog().at("events").size() == events);
}

// Guards against jobs that wait forever although the inventory cannot run them, from the start or after a
// change of the inventory.
TEST_CASE("a job that can never run is refused with the reason", "[scheduler]") {
  scheduler_cluster system;
  const std::string large = system.Submit("beta", {{"members", 9}, {"accelerators", 8}});
  REQUIRE(system.WaitForState(large, job_state::kRefused, seconds(10)));
  CHECK_FALSE(system.Job(large)->reason.empty());
  const std::vector<std::string> running =
      system.SubmitMany("beta", {{"accelerators", 8}, {"run_time_ms", 60000}}, 4);
  for (const std::string& id : running) REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(10)));
  const std::string waiting = system.Submit("beta", {{"members", 4}, {"accelerators", 8}});
  REQUIRE(system.WaitForState(waiting, job_state::kQueued, seconds(10)));
  system.RemoveLastWorker();
  REQUIRE(system.WaitForState(waiting, job_state::kRefused, seconds(10)));
  CHECK_FALSE(system.Job(waiting)->reason.empty());
}

// Guards against new work on a worker that is leaving.
TEST_CASE("a leaving worker gets no new work", "[scheduler]") {
  scheduler_cluster system;
  system.cluster().ControlPlatform({{"vms", {{{"name", "w1"}, {"state", "leaving"}}}}});
  std::this_thread::sleep_for(seconds(3));
  system.SubmitMany("beta", {{"accelerators", 4}, {"run_time_ms", 200}}, 12);
  REQUIRE(system.WaitForAllFinal(seconds(20)));
  const json log = system.WorkerLog();
  CHECK(log.at("events").size() == 24);
  for (const json& event : log.at("events")) CHECK(event.at("worker") != "w1");
}

// Guards against jobs that fail because they are placed again and again on a worker that fails every task.
TEST_CASE("jobs finish although one worker fails every task", "[scheduler]") {
  scheduler_cluster system;
  system.SetFaults("w2", {{"fail_all", true}});
  system.SubmitMany("beta", {{"accelerators", 4}, {"run_time_ms", 300}}, 16);
  REQUIRE(system.WaitForAllFinal(seconds(30)));
  CHECK(system.CountStates()["finished"] == 16);
}

// Guards against a graceful stop after which the successor waits for the pool lease to expire, and against a
// dump that does not say why a job waits.
TEST_CASE("a graceful stop hands the pool over and the dump explains the state", "[scheduler]") {
  scheduler_cluster system;
  const json filler = {{"accelerators", 8}, {"run_time_ms", 60000}};
  for (const std::string& id : system.SubmitMany("beta", filler, 4)) {
    REQUIRE(system.WaitForState(id, job_state::kRunning, seconds(10)));
  }
  const std::string waiting = system.Submit("beta", filler);
  REQUIRE(system.WaitForState(waiting, job_state::kQueued, seconds(10)));
  const int owner = system.OwnerVm();
  REQUIRE(owner != 0);
  const auto explains = [&](int vm) {
    const json dump = system.Dump(vm);
    if (!dump.is_object() || !dump.contains("jobs") || dump.at("leases").size() != 4) return false;
    for (const json& job : dump.at("jobs")) {
      if (job.at("job") == waiting) return !job.value("waits_because", "").empty();
    }
    return false;
  };
  CHECK(WaitUntil([&] { return explains(owner); }, seconds(10)));
  system.Scheduler(owner).program->Signal(SIGTERM);
  const int successor = system.WaitForOtherOwner(owner, seconds(10));
  REQUIRE(successor != 0);
  CHECK(system.Scheduler(owner).program->Wait(seconds(10)) == 0);
  CHECK(system.Scheduler(owner).program->Log().find("released pool region-1: OK") != std::string::npos);
  CHECK(WaitUntil([&] { return explains(successor); }, seconds(10)));
}

}  // namespace
}  // namespace hickorystall::harness
