#include "state/config/guarantee_check.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "state/text.h"

namespace hickorystall::state {
namespace {

// `racks` racks in two failure domains. Each rack has `vms` workers with `accelerators` accelerators each.
cluster_config Cluster(int racks, int vms, int accelerators) {
  cluster_config config;
  config.failure_domains = {"a", "b"};
  for (int rack = 0; rack < racks; ++rack) {
    config.racks.push_back({StrCat("r", rack), rack % 2 == 0 ? "a" : "b"});
    for (int vm = 0; vm < vms; ++vm) {
      vm_config worker;
      worker.name = StrCat("w", rack, "-", vm);
      worker.rack = config.racks.back().name;
      worker.accelerators = accelerators;
      config.vms.push_back(worker);
    }
  }
  return config;
}

bool Fits(cluster_config config, std::vector<guaranteed_shape> shapes) {
  workspace_config workspace;
  workspace.name = "one";
  workspace.guarantees = std::move(shapes);
  config.workspaces = {workspace};
  return FindUnplaceableGuarantees(config, capacity_scope::kInventory).empty();
}

// Guards against accepting a gang because the sum of the free accelerators suffices, although no placement
// exists.
TEST_CASE("a guarantee fits only if each member fits on one VM and the gang in its rack",
          "[guarantee_check]") {
  const cluster_config config = Cluster(2, 2, 8);
  CHECK(Fits(config, {{4, 8, adjacency::kNone}}));
  CHECK_FALSE(Fits(config, {{5, 8, adjacency::kNone}}));
  CHECK_FALSE(Fits(config, {{1, 9, adjacency::kNone}}));
  CHECK(Fits(config, {{2, 8, adjacency::kRack}, {2, 8, adjacency::kRack}}));
  CHECK_FALSE(Fits(config, {{3, 8, adjacency::kRack}}));
  CHECK_FALSE(Fits(config, {{4, 5, adjacency::kNone}, {2, 4, adjacency::kNone}}));
}

// Guards against a placement order that gives the only suitable rack to a gang that fits elsewhere too.
TEST_CASE("guarantees are placed so that the largest groups stay free", "[guarantee_check]") {
  cluster_config config = Cluster(2, 2, 8);
  config.vms[0].accelerators = 4;
  CHECK(Fits(config, {{1, 4, adjacency::kNone}, {1, 8, adjacency::kRack}, {2, 8, adjacency::kRack}}));
}

TEST_CASE("drained workers count as capacity only for the inventory", "[guarantee_check]") {
  cluster_config config = Cluster(1, 2, 8);
  config.vms[0].drained = true;
  CHECK(LargestGang(config, 8, adjacency::kRack, capacity_scope::kInventory) == 2);
  CHECK(LargestGang(config, 8, adjacency::kRack, capacity_scope::kUndrained) == 1);
}

// Tries every placement of the members of `shapes` from index `next` on. `member` members of that shape are
// placed, the first of them on VM `first`.
bool FitsExhaustively(const cluster_config& config, const std::vector<guaranteed_shape>& shapes,
                      std::size_t next, int member, std::vector<int>& free, std::size_t first) {
  if (next == shapes.size()) return true;
  if (member == shapes[next].members) return FitsExhaustively(config, shapes, next + 1, 0, free, 0);
  for (std::size_t vm = 0; vm < free.size(); ++vm) {
    const bool same_rack = member == 0 || config.vms[vm].rack == config.vms[first].rack;
    if (free[vm] < shapes[next].accelerators) continue;
    if (shapes[next].placement == adjacency::kRack && !same_rack) continue;
    free[vm] -= shapes[next].accelerators;
    const bool fits = FitsExhaustively(config, shapes, next, member + 1, free, member == 0 ? vm : first);
    free[vm] += shapes[next].accelerators;
    if (fits) return true;
  }
  return false;
}

// Guards against accepting guarantees that do not fit, by comparison with an exhaustive search.
TEST_CASE("no set is accepted that an exhaustive search cannot place", "[guarantee_check]") {
  const bool holds = rc::check([] {
    const cluster_config config = Cluster(2, 2, *rc::gen::inRange(1, 6));
    std::vector<guaranteed_shape> shapes;
    const int count = *rc::gen::inRange(1, 4);
    shapes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      shapes.push_back({*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5),
                        *rc::gen::element(adjacency::kNone, adjacency::kRack)});
    }
    std::vector<int> free;
    for (const vm_config& vm : config.vms) free.push_back(vm.accelerators);
    const bool possible = FitsExhaustively(config, shapes, 0, 0, free, 0);
    if (Fits(config, shapes)) RC_ASSERT(possible);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace hickorystall::state
