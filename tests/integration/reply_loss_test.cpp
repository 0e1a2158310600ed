#include <catch2/catch.hpp>

#include "tests/support/harness/balanced_load.h"
#include "tests/support/harness/executor_group.h"
#include "tests/support/harness/test_cluster.h"
#include "tests/support/harness/test_config.h"

namespace hickorystall::harness {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Two gateways and two admin instances with three executors. No scheduler runs, as no job has to start.
struct store_fixture {
  store_fixture() : cluster(MakeOptions()), executors(cluster, 3, 5) {
    cluster.StartAll();
    config = MakeConfig({executors.ports(), {FreePort()}});
    const std::int64_t version = cluster.ApplyConfig(config.dump());
    REQUIRE(cluster.WaitForVersion(version));
    REQUIRE(cluster.WaitReady());
  }

  static cluster_options MakeOptions() {
    cluster_options options;
    options.vms = 2;
    options.roles = {role::kGateway, role::kAdmin};
    // Shorter than in production, so that the circuit breaker opens and closes within the test.
    options.settings = {{"drain_notice_ms", 100},
                        {"platform", {{"attempt_timeout_ms", 300}, {"call_timeout_ms", 1000}}}};
    return options;
  }

  int GatewayPort(int vm) { return cluster.Instance(role::kGateway, vm).http_port; }

  test_response SendOrder(int vm, const std::string& name) {
    return SendOnce(GatewayPort(vm), CallerRequest("counter", "POST", "/v1/requests/order", name, name));
  }

  void LoseReplies(int count, const std::string& prefix) {
    cluster.ControlPlatform({{"mode", "lose_replies"}, {"count", count}, {"prefix", prefix}});
  }

  std::int64_t LostReplies() { return cluster.PlatformReport().at("lost_replies").get<std::int64_t>(); }

  test_cluster cluster;
  executor_group executors;
  json config;
};

// Guards against a gateway that takes its own claim for another gateway's when the reply to the claim was
// lost, and against an order that is sent twice or never.
TEST_CASE_METHOD(store_fixture, "an order whose claim is written without a reply runs once", "[reply_loss]") {
  // Loses the reply to the claim, then the replies to the claim and to the stored result.
  for (const int lost : {1, 2}) {
    const std::string name = "order-" + std::to_string(lost);
    const std::int64_t lost_before = LostReplies();
    LoseReplies(lost, "claim/");
    const test_response first = SendOrder(1, name);
    INFO(first.body << first.failure);
    CHECK(first.status == 200);
    CHECK(WaitUntil([&] { return LostReplies() == lost_before + lost; }, std::chrono::seconds(5)));
    const test_response second = SendOrder(2, name);
    INFO(second.body << second.failure);
    CHECK(second.status == 200);
    CHECK(second.body == first.body);
    CHECK(executors.RunsByBody()[name] == 1);
  }
}

// Guards against a job that is stored twice, or refused although it was stored.
TEST_CASE_METHOD(store_fixture, "a job that is stored without a reply is accepted once", "[reply_loss]") {
  const json job = {{"kind", "matching_run"}, {"members", 1}, {"accelerators", 1}};
  LoseReplies(1, "");
  std::vector<std::string> ids;
  for (const int vm : {1, 2}) {
    const test_response response =
        SendOnce(GatewayPort(vm), CallerRequest("matching", "POST", "/v1/jobs", job.dump(), "job-key"));
    INFO(response.body << response.failure);
    REQUIRE(response.status == 202);
    ids.push_back(response.Json().at("job").get<std::string>());
  }
  CHECK(LostReplies() == 1);
  CHECK(ids[0] == ids[1]);
  const test_response listed = SendOnce(GatewayPort(1), CallerRequest("matching", "GET", "/v1/jobs"));
  CHECK(listed.Json().at("jobs").size() == 1);
}

// Guards against reporting a conflict of a change with itself when the reply to its first write was lost.
TEST_CASE_METHOD(store_fixture, "a configuration that is accepted without a reply is in force",
                 "[reply_loss]") {
  LoseReplies(1, "config/");
  config["inventory"]["vms"][0]["drained"] = true;
  const std::int64_t version = cluster.ApplyConfig(config.dump());
  CHECK(LostReplies() == 1);
  CHECK(version == 2);
  CHECK(cluster.WaitForVersion(2));
}

// Sends quote checks throughout a store outage and tries an order repeatedly during it.
void CheckOutage(store_fixture& fixture, const std::string& outage_kind) {
  const std::string before = "before-" + outage_kind;
  const std::string during = "during-" + outage_kind;
  const std::string after = "after-" + outage_kind;
  REQUIRE(fixture.SendOrder(1, before).status == 200);
  balanced_load load(
      {fixture.GatewayPort(1), fixture.GatewayPort(2)}, 8, milliseconds(20), [](std::int64_t index) {
        return CallerRequest("counter", "POST", "/v1/requests/quote_check", std::to_string(index));
      });
  // The outage of 8 s is longer than the contact limit of 3 s and many times longer than a call's deadline of
  // 1 s. With the default settings that corresponds to an outage of 30 s and more.
  fixture.cluster.ControlPlatform({{"mode", "down"}, {"answer", outage_kind}});
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  int refused = 0;
  while (std::chrono::steady_clock::now() < end) {
    const test_response response = fixture.SendOrder(1, during);
    INFO(response.body << response.failure);
    CHECK(response.status == 503);
    const json body = response.Json();
    CHECK(body.is_object());
    if (body.is_object() && body.contains("error")) refused += body["error"].value("ran", "") == "no" ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(250));
  }
  CHECK(refused > 0);
  CHECK(fixture.executors.RunsByBody().count(during) == 0);
  fixture.cluster.ControlPlatform({{"mode", "up"}});
  CHECK(WaitUntil([&] { return fixture.SendOrder(2, after).status == 200; }, std::chrono::seconds(10)));
  const load_report report = load.Finish();
  INFO("requests " << report.requests << ", refused " << report.refused << ", not connected "
                   << report.not_connected);
  for (const std::string& text : report.unexpected) UNSCOPED_INFO(text);
  CHECK(report.unexpected.empty());
  CHECK(report.interrupted == 0);
  CHECK(report.refused == 0);
  CHECK(report.answered == report.requests);
  CHECK(fixture.cluster.WaitReady());
  CHECK(fixture.executors.RunsByBody()[before] == 1);
  CHECK(fixture.executors.RunsByBody()[after] == 1);
}

// Guards against idempotent requests that depend on the store, and against orders that run without a claim.
TEST_CASE_METHOD(store_fixture, "quote checks continue and orders are refused while the store hangs",
                 "[reply_loss]") {
  CheckOutage(*this, "hang");
}

TEST_CASE_METHOD(store_fixture, "quote checks continue and orders are refused while the store refuses",
                 "[reply_loss]") {
  CheckOutage(*this, "refuse");
}

}  // namespace
}  // namespace hickorystall::harness
