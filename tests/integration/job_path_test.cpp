#include <catch2/catch.hpp>
#include <set>

#include "tests/support/harness/test_cluster.h"
#include "tests/support/harness/test_config.h"

namespace hickorystall::harness {
namespace {

using nlohmann::json;

// Guards against gateways and schedulers that disagree on the format of the rows that pass jobs between them.
TEST_CASE("a gang submitted at a gateway runs on workers of one rack", "[job_path]") {
  cluster_options options;
  options.roles = {role::kGateway, role::kScheduler};
  options.settings = {{"drain_notice_ms", 100}};
  test_cluster cluster(options);
  const std::vector<int> ports{FreePort(), FreePort(), FreePort(), FreePort()};
  const int control_port = FreePort();
  std::vector<std::string> arguments{"--control", "127.0.0.1:" + std::to_string(control_port)};
  for (std::size_t i = 0; i < ports.size(); ++i) {
    arguments.emplace_back("--worker");
    arguments.push_back("worker-" + std::to_string(i + 1) + "=127.0.0.1:" + std::to_string(ports[i]));
  }
  cluster.StartProgram("standin-worker", arguments, "workers");
  cluster.StartAll();
  REQUIRE(cluster.WaitForVersion(cluster.ApplyConfig(MakeConfig({{}, ports}).dump())));
  REQUIRE(cluster.WaitReady());

  const json job = {{"kind", "matching_run"},
                    {"members", 2},
                    {"accelerators", 8},
                    {"adjacency", "rack"},
                    {"run_time_ms", 500}};
  const test_response submitted =
      SendOnce(cluster.Instance(role::kGateway, 1).http_port,
               CallerRequest("matching", "POST", "/v1/jobs", job.dump(), "gang-key"));
  INFO(submitted.body << submitted.failure);
  REQUIRE(submitted.status == 202);
  const std::string path = "/v1/jobs/" + submitted.Json().at("job").get<std::string>() + "?wait_ms=30000";
  const test_response ended = SendOnce(cluster.Instance(role::kGateway, 2).http_port,
                                       CallerRequest("matching", "GET", path), std::chrono::seconds(40));
  INFO(ended.body << ended.failure);
  REQUIRE(ended.status == 200);
  CHECK(ended.Json().value("state", "") == "finished");

  std::set<std::string> workers;
  const json log = SendOnce(control_port, {"GET", "/v1/log", {}, ""}).Json();
  for (const json& event : log.at("events")) {
    if (event.at("working").get<bool>()) workers.insert(event.at("worker").get<std::string>());
  }
  const std::set<std::string> first_rack{"worker-1", "worker-2"};
  const std::set<std::string> second_rack{"worker-3", "worker-4"};
  CHECK((workers == first_rack || workers == second_rack));
}

}  // namespace
}  // namespace hickorystall::harness
