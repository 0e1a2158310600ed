#include <catch2/catch.hpp>
#include <future>

#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A proxied link to the stand-in platform, whose rows are the traffic. The platform and the proxy are the
// only programs that run.
struct link_fixture {
  link_fixture() : cluster(MakeOptions()), port(cluster.AddLink("link", cluster.platform_port())) {
    cluster.ControlPlatform({{"mode", "up"}});
  }

  static cluster_options MakeOptions() {
    cluster_options options;
    options.vms = 0;
    options.proxied = true;
    return options;
  }

  void Set(json change) {
    change["link"] = "li*";
    cluster.ControlProxy({{"set", {change}}});
  }

  // Writes a row through the link.
  test_response Put(const std::string& key, test_connection& connection,
                    milliseconds timeout = milliseconds(3000)) {
    return connection.Send(
        JsonRequest("POST", "/v1/transact", {{"puts", {{{"key", key}, {"value", std::string(1000, 'x')}}}}}),
        timeout);
  }

  test_cluster cluster;
  int port;
};

// The cases below guard against fault tests that pass because the proxy did not inject the fault.
TEST_CASE_METHOD(link_fixture, "cut resets open and new connections until the link passes", "[proxy]") {
  test_connection connection(port);
  CHECK(Put("a", connection).status == 200);
  Set({{"mode", "cut"}});
  CHECK(Put("b", connection).status == 0);
  CHECK(Put("c", connection).status == 0);
  Set({{"mode", "pass"}});
  CHECK(Put("d", connection).status == 200);
  CHECK(cluster.ReadRow("b").empty());
}

TEST_CASE_METHOD(link_fixture, "silent connections never reply while new ones work", "[proxy]") {
  test_connection old_connection(port);
  CHECK(Put("a", old_connection).status == 200);
  Set({{"mode", "silent"}});
  CHECK(Put("b", old_connection, milliseconds(200)).status == 0);
  test_connection new_connection(port);
  CHECK(Put("c", new_connection).status == 200);
  CHECK(cluster.ReadRow("b").empty());
}

TEST_CASE_METHOD(link_fixture, "a one-way block lets the write take effect", "[proxy]") {
  test_connection connection(port);
  CHECK(Put("a", connection).status == 200);
  Set({{"mode", "block"}, {"direction", "to_client"}});
  auto reply = std::async(std::launch::async, [&] { return Put("b", connection); });
  CHECK(WaitUntil([&] { return !cluster.ReadRow("b").empty(); }, milliseconds(3000)));
  CHECK(reply.wait_for(milliseconds(100)) == std::future_status::timeout);
  Set({{"mode", "pass"}});
  CHECK(reply.get().status == 200);
}

TEST_CASE_METHOD(link_fixture, "delay and throttle take at least their time", "[proxy]") {
  const auto time_of_put = [&](const std::string& key) {
    test_connection connection(port);
    const auto start = std::chrono::steady_clock::now();
    CHECK(Put(key, connection).status == 200);
    return std::chrono::steady_clock::now() - start;
  };
  Set({{"mode", "delay"}, {"delay_ms", 100}});
  CHECK(time_of_put("a") >= milliseconds(200));
  Set({{"mode", "throttle"}, {"direction", "to_target"}, {"bytes_per_second", 5000}});
  Set({{"mode", "pass"}, {"direction", "to_client"}});
  CHECK(time_of_put("b") >= milliseconds(200));
}

TEST_CASE_METHOD(link_fixture, "truncated and dropped replies end the exchange after the effect", "[proxy]") {
  test_connection connection(port);
  Set({{"mode", "truncate"}, {"direction", "to_client"}, {"bytes", 10}});
  CHECK(Put("a", connection).status == 0);
  CHECK_FALSE(cluster.ReadRow("a").empty());
  Set({{"mode", "drop_replies"}, {"direction", "to_client"}, {"count", 1}});
  CHECK(Put("b", connection).status == 0);
  CHECK_FALSE(cluster.ReadRow("b").empty());
  CHECK(Put("c", connection).status == 200);
}

}  // namespace
}  // namespace hickorystall::harness
