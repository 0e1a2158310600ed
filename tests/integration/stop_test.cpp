#include <signal.h>

#include <catch2/catch.hpp>

#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {
namespace {

constexpr const char* kEmptyConfig = R"({"inventory":{},"rules":{}})";

// Guards against instances that do not find the configuration or that end with an error at SIGTERM.
TEST_CASE("every program becomes ready and exits 0 at SIGTERM", "[stop]") {
  cluster_options options;
  options.settings = {{"drain_notice_ms", 100}};
  test_cluster cluster(options);
  cluster.StartAll();
  const std::int64_t version = cluster.ApplyConfig(kEmptyConfig);
  REQUIRE(cluster.WaitForVersion(version));
  for (auto& instance : cluster.instances()) instance->program->Signal(SIGTERM);
  for (auto& instance : cluster.instances()) {
    INFO(instance->program->Log());
    CHECK(instance->program->Wait(std::chrono::seconds(10)) == 0);
  }
}

}  // namespace
}  // namespace hickorystall::harness
