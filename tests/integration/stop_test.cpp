#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

#include "tests/support/harness/balanced_load.h"
#include "tests/support/harness/executor_group.h"
#include "tests/support/harness/test_cluster.h"
#include "tests/support/harness/test_config.h"

namespace hickorystall::harness {
namespace {

using std::chrono::milliseconds;

constexpr int kVms = 3;

// Counts of the responses of /ready on new connections, from SIGTERM until a connection is refused.
struct ready_sequence {
  int ready = 0;
  int not_ready = 0;
  int ready_after_not_ready = 0;
  // Requests that were sent and got no response.
  int cut = 0;
};

ready_sequence WatchReadyUntilRefused(int port) {
  ready_sequence seen;
  for (;;) {
    const test_response response = SendOnce(port, {"GET", "/ready", {}, ""});
    if (response.status == 0 && !response.bytes_sent) return seen;
    if (response.status == 0) ++seen.cut;
    if (response.status == 503) ++seen.not_ready;
    if (response.status == 200) ++(seen.not_ready > 0 ? seen.ready_after_not_ready : seen.ready);
    PauseBetweenChecks();
  }
}

// Three VMs that are ready, with three executors.
struct stop_fixture {
  explicit stop_fixture(int service_ms = 20) : executors(cluster, 3, service_ms) {
    cluster.StartAll();
    // Nothing listens at the address of the worker, so that no job finishes.
    const std::int64_t version = cluster.ApplyConfig(MakeConfig({executors.ports(), {FreePort()}}).dump());
    REQUIRE(cluster.WaitForVersion(version));
    REQUIRE(cluster.WaitReady());
  }

  std::vector<int> GatewayPorts() {
    std::vector<int> ports;
    for (int vm = 1; vm <= kVms; ++vm) ports.push_back(cluster.Instance(role::kGateway, vm).http_port);
    return ports;
  }

  // Stops every instance of one VM with SIGTERM. Checks that each reports not ready before it refuses
  // connections, never becomes ready again, cuts no request and exits with status 0.
  void StopVm(int vm) {
    for (const role instance_role : {role::kGateway, role::kScheduler, role::kAdmin}) {
      cluster.Instance(instance_role, vm).program->Signal(SIGTERM);
    }
    for (const role instance_role : {role::kGateway, role::kScheduler, role::kAdmin}) {
      server_instance& instance = cluster.Instance(instance_role, vm);
      const int port = instance.http_port;
      watches.push_back(std::async(std::launch::async, [port] { return WatchReadyUntilRefused(port); }));
    }
    for (auto& watch : watches) {
      const ready_sequence seen = watch.get();
      CHECK(seen.not_ready > 0);
      CHECK(seen.ready_after_not_ready == 0);
      CHECK(seen.cut == 0);
    }
    watches.clear();
    for (const role instance_role : {role::kGateway, role::kScheduler, role::kAdmin}) {
      server_instance& instance = cluster.Instance(instance_role, vm);
      INFO(instance.name << ":\n" << instance.program->Log());
      CHECK(instance.program->Wait(std::chrono::seconds(20)) == 0);
    }
  }

  void ReplaceVm(int vm) {
    StopVm(vm);
    for (const role instance_role : {role::kGateway, role::kScheduler, role::kAdmin}) {
      cluster.Start(cluster.Instance(instance_role, vm));
    }
    REQUIRE(cluster.WaitReady());
  }

  test_cluster cluster;
  executor_group executors;
  std::vector<std::future<ready_sequence>> watches;
};

void CheckNoRequestCut(const load_report& report) {
  INFO("requests " << report.requests << ", refused as not run " << report.refused << ", not connected "
                   << report.not_connected << ", answered " << report.answered);
  for (const std::string& response_text : report.unexpected) UNSCOPED_INFO(response_text);
  CHECK(report.unexpected.empty());
  CHECK(report.interrupted == 0);
  CHECK(report.answered == report.requests);
}

// Guards against requests that are cut, lost or run twice while the VMs are replaced one after the other.
TEST_CASE_METHOD(stop_fixture, "a rolling replacement under load cuts no request", "[stop]") {
  std::atomic<std::int64_t> orders{0};
  balanced_load load(GatewayPorts(), 24, milliseconds(100), [&](std::int64_t index) {
    const std::string name = "load-" + std::to_string(index);
    if (index % 4 != 0) return CallerRequest("counter", "POST", "/v1/requests/quote_check", name);
    ++orders;
    return CallerRequest("counter", "POST", "/v1/requests/order", name, name);
  });
  REQUIRE(WaitUntil([&] { return load.answered() > 100; }, std::chrono::seconds(20)));
  for (int vm = 1; vm <= kVms; ++vm) ReplaceVm(vm);
  const load_report report = load.Finish();
  CheckNoRequestCut(report);
  int orders_run = 0;
  for (const auto& [body, runs] : executors.RunsByBody()) {
    if (body.starts_with("load-") && std::stoll(body.substr(5)) % 4 == 0) {
      ++orders_run;
      CHECK(runs == 1);
    }
  }
  CHECK(orders_run == orders);
}

struct slow_requests : stop_fixture {
  slow_requests() : stop_fixture(2500) {}
};

// Guards against a process that exits before requests that take longer than the drain notice of 1 s have
// ended.
TEST_CASE_METHOD(slow_requests, "requests that outlast the drain notice are completed", "[stop]") {
  balanced_load load(GatewayPorts(), 12, milliseconds(0), [&](std::int64_t index) {
    return CallerRequest("counter", "POST", "/v1/requests/quote_check", std::to_string(index));
  });
  REQUIRE(WaitUntil([&] { return load.answered() >= 1; }, std::chrono::seconds(20)));
  ReplaceVm(1);
  CheckNoRequestCut(load.Finish());
}

// Guards against a stop that cuts callers that wait for a job, or that is delayed until their waits end.
TEST_CASE_METHOD(stop_fixture, "a long wait ends with a response when its gateway stops", "[stop]") {
  const int port = cluster.Instance(role::kGateway, 1).http_port;
  const nlohmann::json job = {{"kind", "matching_run"}, {"members", 1}, {"accelerators", 1}};
  const test_response submitted =
      SendOnce(port, CallerRequest("matching", "POST", "/v1/jobs", job.dump(), "job-key"));
  INFO(submitted.body);
  REQUIRE(submitted.status == 202);
  const std::string path = "/v1/jobs/" + submitted.Json().at("job").get<std::string>() + "?wait_ms=60000";
  std::vector<std::future<test_response>> waits;
  waits.reserve(5);
  for (int i = 0; i < 5; ++i) {
    waits.push_back(std::async(std::launch::async, [&] {
      return SendOnce(port, CallerRequest("matching", "GET", path), std::chrono::seconds(60));
    }));
  }
  // By then the connections are accepted and the gateway holds the requests open.
  CHECK(waits[0].wait_for(milliseconds(500)) == std::future_status::timeout);
  StopVm(1);
  for (auto& wait : waits) {
    const test_response response = wait.get();
    INFO(response.failure << response.body);
    CHECK(response.status == 200);
  }
}

}  // namespace
}  // namespace hickorystall::harness
