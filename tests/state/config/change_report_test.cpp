#include "state/config/change_report.h"

#include <catch2/catch.hpp>

#include "state/text.h"

namespace hickorystall::state {
namespace {

// One failure domain with two racks of two workers with 8 accelerators each.
cluster_config Cluster() {
  cluster_config config;
  config.failure_domains = {"a"};
  config.racks = {{"r1", "a"}, {"r2", "a"}};
  for (int i = 0; i < 4; ++i) {
    vm_config vm;
    vm.name = StrCat("w", i);
    vm.rack = i < 2 ? "r1" : "r2";
    vm.processors = 64;
    vm.memory_mib = 1 << 18;
    vm.accelerators = 8;
    config.vms.push_back(vm);
  }
  workspace_config workspace;
  workspace.name = "sales";
  workspace.guarantees = {{3, 8, adjacency::kNone}};
  config.workspaces = {workspace};
  work_kind kind;
  kind.name = "match";
  kind.kind = work_class::kJob;
  config.kinds = {kind};
  return config;
}

job_record Queued(const std::string& id, int members, adjacency placement) {
  job_record job;
  job.id = id;
  job.workspace = "sales";
  job.spec.kind = "match";
  job.spec.members = members;
  job.spec.accelerators = 8;
  job.spec.placement = placement;
  return job;
}

TEST_CASE("an unchanged configuration has no effects", "[change_report]") {
  const change_report report = ExplainChange(Cluster(), Cluster());
  CHECK(report.vms_added.empty());
  CHECK(report.vms_removed.empty());
  CHECK(report.lost_guarantees.empty());
  CHECK(report.shrunk_shapes.empty());
}

// Guards against a drain that breaks the guarantee of a workspace without a report.
TEST_CASE("a drain that breaks a guarantee is reported", "[change_report]") {
  cluster_config after = Cluster();
  after.vms[0].drained = true;
  CHECK(ExplainChange(Cluster(), after).lost_guarantees.empty());
  after.vms[1].drained = true;
  const change_report report = ExplainChange(Cluster(), after);
  CHECK(report.vms_drained == std::vector<std::string>{"w0", "w1"});
  REQUIRE(report.lost_guarantees.size() == 1);
  CHECK(report.lost_guarantees[0].workspace == "sales");
  CHECK_FALSE(report.lost_guarantees[0].was_lost);
  CHECK(ExplainChange(after, Cluster()).vms_undrained == std::vector<std::string>{"w0", "w1"});
}

TEST_CASE("removed VMs, workspaces and kinds and smaller gangs are listed", "[change_report]") {
  cluster_config after = Cluster();
  after.vms.erase(after.vms.begin(), after.vms.begin() + 2);
  after.vms[0].name = "w9";
  after.workspaces.clear();
  after.kinds.clear();
  const change_report report = ExplainChange(Cluster(), after);
  CHECK(report.vms_added == std::vector<std::string>{"w9"});
  CHECK(report.vms_removed == std::vector<std::string>{"w0", "w1", "w2"});
  CHECK(report.workspaces_removed == std::vector<std::string>{"sales"});
  CHECK(report.kinds_removed == std::vector<std::string>{"match"});
  // The four widths 1, 2, 4 and 8, with no constraint and with one failure domain. The largest gang in one
  // rack is unchanged.
  REQUIRE(report.shrunk_shapes.size() == 8);
  CHECK(report.shrunk_shapes[0].largest_before == 32);
  CHECK(report.shrunk_shapes[0].largest_after == 16);
}

// Guards against a configuration change that makes queued jobs impossible without a report to the operator.
TEST_CASE("queued jobs that become impossible are found", "[change_report]") {
  cluster_config after = Cluster();
  after.vms.pop_back();
  job_record running = Queued("running", 4, adjacency::kNone);
  running.state = job_state::kRunning;
  const std::vector<job_record> jobs{Queued("too-large-before", 9, adjacency::kNone),
                                     Queued("becomes-impossible", 4, adjacency::kNone),
                                     Queued("still-possible", 2, adjacency::kRack), running};
  const std::vector<impossible_job> impossible = FindImpossibleJobs(Cluster(), after, jobs);
  REQUIRE(impossible.size() == 1);
  CHECK(impossible[0].job_id == "becomes-impossible");
  CHECK_FALSE(impossible[0].reason.empty());
  after.workspaces.clear();
  CHECK(FindImpossibleJobs(Cluster(), after, jobs).size() == 2);
}

}  // namespace
}  // namespace hickorystall::state
