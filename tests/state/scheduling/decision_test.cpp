#include "state/scheduling/decision.h"

#include <catch2/catch.hpp>

#include "state/scheduling/capacity_view.h"

namespace hickorystall::state {
namespace {

/// Returns a cluster of two racks, each a failure domain with two workers of 8 accelerators, and one
/// workspace "a".
cluster_config SmallCluster() {
  cluster_config config;
  config.failure_domains = {"d0", "d1"};
  config.racks = {{"r0", "d0"}, {"r1", "d1"}};
  for (int i = 0; i < 4; ++i) {
    vm_config vm;
    vm.name = "w" + std::to_string(i);
    vm.rack = i < 2 ? "r0" : "r1";
    vm.processors = 64;
    vm.memory_mib = 65536;
    vm.accelerators = 8;
    config.vms.push_back(vm);
  }
  workspace_config workspace;
  workspace.name = "a";
  config.workspaces = {workspace};
  return config;
}

/// Adds a queued job of workspace "a".
job_record& AddJob(scheduling_snapshot& snapshot, const std::string& id, int members, int accelerators) {
  job_record& job = snapshot.jobs[id];
  job.id = id;
  job.workspace = "a";
  job.spec.members = members;
  job.spec.accelerators = accelerators;
  return job;
}

TEST_CASE("a gang that does not fit whole gets nothing", "[decision]") {
  const cluster_config config = SmallCluster();
  scheduling_snapshot snapshot{&config, {}, {}, {}};
  AddJob(snapshot, "gang", 3, 8).spec.placement = adjacency::kFailureDomain;
  AddJob(snapshot, "wide", 4, 8);
  const scheduling_decision decision = Decide(snapshot, {});
  REQUIRE(decision.commands.size() == 2);
  CHECK(decision.commands[0].kind == command_kind::kRefuse);
  CHECK(decision.commands[1].kind == command_kind::kStart);
  CHECK(decision.commands[1].placement.size() == 4);
}

TEST_CASE("drained and unavailable workers get no work", "[decision]") {
  cluster_config config = SmallCluster();
  config.vms[0].drained = true;
  scheduling_snapshot snapshot{&config, {}, {}, {}};
  snapshot.workers["w1"].available = false;
  AddJob(snapshot, "a", 2, 8);
  AddJob(snapshot, "b", 1, 1);
  const scheduling_decision decision = Decide(snapshot, {});
  REQUIRE(decision.commands.size() == 1);
  for (const member_placement& member : decision.commands[0].placement) CHECK(member.vm >= "w2");
  CHECK(decision.waiting.contains("b"));
}

TEST_CASE("a workspace stays within its accelerators", "[decision]") {
  cluster_config config = SmallCluster();
  config.workspaces[0].max_accelerators = 8;
  scheduling_snapshot snapshot{&config, {}, {}, {}};
  AddJob(snapshot, "a", 1, 8);
  AddJob(snapshot, "b", 1, 1);
  CHECK(Decide(snapshot, {}).commands.size() == 1);
  CHECK(!ExplainImpossible(config, config.workspaces[0], AddJob(snapshot, "c", 2, 5).spec).empty());
}

TEST_CASE("a run is taken from the shortest gap and aligned", "[decision]") {
  CHECK(FindRun(0b11110111, 2) == 0b11);
  CHECK(FindRun(0b11110000, 4) == 0b11110000);
  CHECK(FindRun(0b01010101, 2) == 0);
  CHECK(FindRun(~std::uint64_t{0}, 64) == ~std::uint64_t{0});
  CHECK(LongestRun(0b01110110) == 3);
}

// Minimal counterexample of the property "gangs start whole": an aligned run in the middle of a gap left no
// room for the second member.
TEST_CASE("alignment does not split a gap that two members need", "[decision]") {
  const std::uint64_t gap = 0b01111110;
  const std::uint64_t first = FindRun(gap, 3);
  CHECK(CountRuns(gap & ~first, 3, 64) == 1);
}

}  // namespace
}  // namespace hickorystall::state
