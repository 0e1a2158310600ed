#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <future>
#include <optional>
#include <set>
#include <thread>

#include "state/text.h"
#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {
namespace {

using nlohmann::json;
using state::StrCat;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;

// Time within which an accepted version must be in force on all instances (docs/design.md, I8).
constexpr milliseconds kInForceLimit{4000};
// One hour, longer than any test, so that no instance polls.
constexpr int kNoPollMs = 3600000;

// Returns a configuration that differs from others in the limit `number`.
std::string MakeDocument(int number) {
  return StrCat("{\"inventory\": {}, // change ", number,
                "\n\"rules\": {\"limits\": {\"max_jobs_per_workspace\": ", number, "}}}");
}

transport::http_request OperatorRequest(std::string method, std::string target, std::string body = {}) {
  return {std::move(method),
          std::move(target),
          {{"Authorization", StrCat("Bearer ", kOperatorToken)}, {"X-Operator", "ann"}},
          std::move(body)};
}

test_response Apply(const server_instance& admin, std::int64_t base, const std::string& text) {
  return SendOnce(admin.http_port, OperatorRequest("PUT", StrCat("/v1/config?base=", base), text),
                  seconds(20));
}

json GetJson(const server_instance& admin, const std::string& target) {
  return SendOnce(admin.http_port, OperatorRequest("GET", target)).Json();
}

// Returns the version that the instance reports as in force, or 0 when it is not ready or does not respond.
std::int64_t VersionOf(const server_instance& instance, milliseconds timeout = seconds(2)) {
  const test_response response = SendOnce(instance.http_port, {"GET", "/ready", {}, ""}, timeout);
  return response.status == 200 ? response.Json().value("config_version", std::int64_t{0}) : 0;
}

// Waits until every instance knows all others, so that a push reaches all of them.
bool WaitForMesh(test_cluster& cluster) {
  const std::size_t others = cluster.instances().size() - 1;
  for (auto& instance : cluster.instances()) {
    const bool complete = WaitUntil(
        [&] {
          const json dump = SendOnce(instance->http_port, OperatorRequest("GET", "/dump")).Json();
          return dump.is_object() && dump["peers"]["peers"].size() >= others;
        },
        seconds(10));
    if (!complete) return false;
  }
  return true;
}

// Polls the version of every instance from a thread each and counts the times that it decreases.
class version_decrease_counter {
 public:
  explicit version_decrease_counter(test_cluster& cluster) {
    for (auto& instance : cluster.instances()) {
      threads_.emplace_back([this, target = instance.get()] { Watch(*target); });
    }
  }
  ~version_decrease_counter() { Stop(); }
  version_decrease_counter(const version_decrease_counter&) = delete;
  version_decrease_counter& operator=(const version_decrease_counter&) = delete;

  // Stops polling and returns how often a version decreased.
  int Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return decreases_;
  }
  int samples() const { return samples_; }

 private:
  void Watch(const server_instance& instance) {
    std::int64_t highest = 0;
    while (!stop_) {
      const std::int64_t version = VersionOf(instance, milliseconds(300));
      if (version > 0) ++samples_;
      if (version > 0 && version < highest) ++decreases_;
      highest = std::max(highest, version);
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<int> decreases_{0};
  std::atomic<int> samples_{0};
  std::vector<std::thread> threads_;
};

// Applies a change and returns the time from sending it until it is in force on every instance.
milliseconds MeasureTimeUntilInForce(test_cluster& cluster, std::int64_t base) {
  const clock::time_point start = clock::now();
  auto pending_response = std::async(std::launch::async, [&] {
    return Apply(cluster.Instance(role::kAdmin, 1), base, MakeDocument(static_cast<int>(base) + 1));
  });
  const bool in_force = cluster.WaitForVersion(base + 1, seconds(20));
  const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - start);
  const test_response response = pending_response.get();
  INFO(response.body << response.failure);
  CHECK(response.status == 200);
  CHECK(in_force);
  return elapsed;
}

// Guards against a change that some instance applies late, with a fast and with a slow store.
TEST_CASE("an accepted version is in force on all instances within 4 s", "[config]") {
  test_cluster cluster;
  cluster.StartAll();
  REQUIRE(Apply(cluster.Instance(role::kAdmin, 1), 0, MakeDocument(1)).status == 200);
  REQUIRE(cluster.WaitForVersion(1));
  REQUIRE(WaitForMesh(cluster));
  version_decrease_counter decrease_counter(cluster);
  milliseconds slowest{0};
  for (std::int64_t base = 1; base <= 10; ++base) {
    slowest = std::max(slowest, MeasureTimeUntilInForce(cluster, base));
  }
  CHECK(slowest < kInForceLimit);
  cluster.ControlPlatform({{"mode", "slow"}, {"delay_ms", 600}});
  const milliseconds with_slow_store = MeasureTimeUntilInForce(cluster, 11);
  CHECK(with_slow_store < kInForceLimit);
  CHECK(decrease_counter.Stop() == 0);
  CHECK(decrease_counter.samples() > 0);
  WARN("slowest of 10 changes " << slowest.count() << " ms, with 600 ms per store call "
                                << with_slow_store.count() << " ms");
}

// Guards against a push that fails unnoticed because polling delivers the version instead.
TEST_CASE("a push alone puts a version in force", "[config]") {
  cluster_options options;
  options.settings = {{"config_poll_ms", kNoPollMs}};
  test_cluster cluster(options);
  cluster.StartAll();
  REQUIRE(WaitForMesh(cluster));
  const test_response response = Apply(cluster.Instance(role::kAdmin, 2), 0, MakeDocument(1));
  REQUIRE(response.status == 200);
  const json result = response.Json();
  INFO(response.body);
  CHECK(result["unconfirmed"].empty());
  CHECK(result["confirmed"].size() == cluster.instances().size());
  CHECK(result["confirmed_after_ms"].get<std::int64_t>() < kInForceLimit.count());
  CHECK(cluster.WaitForVersion(1, milliseconds(1000)));
}

// Sets the proxy mode of the links whose names match the pattern, in both directions.
void SetLinks(test_cluster& cluster, const std::string& links, const std::string& mode) {
  cluster.ControlProxy({{"set", {{{"link", links}, {"direction", "both"}, {"mode", mode}}}}});
}

// Guards against an instance that gets no new version without its peers, and against one that stays ready
// while it reaches neither its peers nor the store.
TEST_CASE("polling replaces a cut peer link, and an instance without both is not ready", "[config]") {
  cluster_options options;
  options.vms = 2;
  options.proxied = true;
  // Without seeds, peers are found in the table, and every peer address there leads through the proxy.
  options.settings = {{"seeds", json::array()}};
  test_cluster cluster(options);
  cluster.StartAll();
  server_instance& admin = cluster.Instance(role::kAdmin, 1);
  REQUIRE(Apply(admin, 0, MakeDocument(1)).status == 200);
  REQUIRE(cluster.WaitForVersion(1));
  REQUIRE(WaitForMesh(cluster));
  server_instance& gateway = cluster.Instance(role::kGateway, 2);
  // The gateway neither receives messages from its peers nor reaches them.
  SetLinks(cluster, "peers>*", "cut");
  REQUIRE(Apply(admin, 1, MakeDocument(2)).status == 200);
  CHECK(cluster.WaitForVersion(2, kInForceLimit));
  SetLinks(cluster, "gateway-2>platform", "cut");
  CHECK(WaitUntil([&] { return VersionOf(gateway) == 0; }, seconds(10)));
  REQUIRE(Apply(admin, 2, MakeDocument(3)).status == 200);
  CHECK(VersionOf(gateway) == 0);
  SetLinks(cluster, "*", "pass");
  CHECK(WaitUntil([&] { return VersionOf(gateway) == 3; }, seconds(10)));
}

// Guards against two concurrent changes of one base version that are both reported as in force.
TEST_CASE("exactly one of two concurrent changes is accepted", "[config]") {
  cluster_options options;
  options.vms = 2;
  options.roles = {role::kAdmin};
  test_cluster cluster(options);
  cluster.StartAll();
  REQUIRE(WaitForMesh(cluster));
  for (int base = 0; base < 20; ++base) {
    std::vector<std::future<test_response>> responses;
    for (int admin = 1; admin <= 2; ++admin) {
      responses.push_back(std::async(std::launch::async, [&cluster, base, admin] {
        return Apply(cluster.Instance(role::kAdmin, admin), base, MakeDocument(base * 10 + admin));
      }));
    }
    const test_response first = responses[0].get();
    const test_response second = responses[1].get();
    INFO(first.body << second.body);
    const bool first_won = first.status == 200;
    const test_response& loser = first_won ? second : first;
    REQUIRE(std::set<int>{first.status, second.status} == std::set<int>{200, 409});
    CHECK(loser.Json()["error"]["kind"] == "version_conflict");
    CHECK(loser.Json()["error"]["ran"] == "no");
    const json shown = GetJson(cluster.Instance(role::kAdmin, 1), "/v1/config");
    CHECK(shown["version"] == base + 1);
    CHECK(shown["document"] == MakeDocument(base * 10 + (first_won ? 1 : 2)));
  }
  const json history = GetJson(cluster.Instance(role::kAdmin, 2), "/v1/config/history?limit=100")["versions"];
  REQUIRE(history.size() == 20);
  CHECK(history[0]["version"] == 20);
  CHECK(history[0]["base"] == 19);
  CHECK(history[0]["operator"] == "ann");
}

// Stops the process and waits until all its threads have stopped; a thread may run for a moment after the
// signal was sent.
void Pause(const server_instance& instance) {
  instance.program->Signal(SIGSTOP);
  siginfo_t info;
  REQUIRE(waitid(P_PID, static_cast<id_t>(instance.program->pid()), &info, WSTOPPED | WNOWAIT) == 0);
}

// Guards against an instance that resumes with an old version and keeps it or spreads it to others.
TEST_CASE("an instance paused over two changes applies the newest version", "[config]") {
  test_cluster cluster;
  cluster.StartAll();
  server_instance& admin = cluster.Instance(role::kAdmin, 1);
  REQUIRE(Apply(admin, 0, MakeDocument(1)).status == 200);
  REQUIRE(cluster.WaitForVersion(1));
  REQUIRE(WaitForMesh(cluster));
  server_instance& paused = cluster.Instance(role::kGateway, 2);
  version_decrease_counter decrease_counter(cluster);
  Pause(paused);
  const json first = Apply(admin, 1, MakeDocument(2)).Json();
  INFO(first.dump());
  CHECK(first["unconfirmed"] == json::array({paused.name}));
  REQUIRE(Apply(admin, 2, MakeDocument(3)).status == 200);
  paused.program->Signal(SIGCONT);
  const clock::time_point resumed = clock::now();
  CHECK(WaitUntil([&] { return VersionOf(paused) == 3; }, kInForceLimit));
  const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - resumed);
  CHECK(decrease_counter.Stop() == 0);
  CHECK(VersionOf(paused) == 3);
  WARN("newest version in force " << elapsed.count() << " ms after the pause");
}

// Guards against instances that become ready without a configuration after a restart, and against losing the
// accepted version.
TEST_CASE("all instances restarted during a store outage wait for the store", "[config]") {
  cluster_options options;
  options.vms = 2;
  options.settings = {{"drain_notice_ms", 10}};
  test_cluster cluster(options);
  cluster.StartAll();
  REQUIRE(Apply(cluster.Instance(role::kAdmin, 1), 0, MakeDocument(1)).status == 200);
  REQUIRE(cluster.WaitForVersion(1));
  cluster.ControlPlatform({{"mode", "down"}, {"answer", "refuse"}});
  for (auto& instance : cluster.instances()) instance->program->Kill();
  cluster.StartAll();
  // Longer than the contact limit and several heartbeats.
  std::this_thread::sleep_for(seconds(4));
  for (auto& instance : cluster.instances()) {
    INFO(instance->name);
    CHECK(SendOnce(instance->http_port, {"GET", "/live", {}, ""}).status == 200);
    const test_response ready = SendOnce(instance->http_port, {"GET", "/ready", {}, ""});
    CHECK(ready.status == 503);
    CHECK(ready.Json()["error"]["kind"] == "not_ready");
  }
  const test_response shown =
      SendOnce(cluster.Instance(role::kAdmin, 1).http_port, OperatorRequest("GET", "/v1/config"));
  CHECK(shown.status == 503);
  const test_response applied = Apply(cluster.Instance(role::kAdmin, 1), 1, MakeDocument(2));
  CHECK(applied.Json()["error"]["kind"] == "store_unavailable");
  CHECK(applied.Json()["error"]["ran"] == "no");
  cluster.ControlPlatform({{"mode", "up"}});
  CHECK(cluster.WaitForVersion(1));
}

// Guards against an instance that starts without the store and never gets a configuration, or becomes ready
// before it has one.
TEST_CASE("an instance started during a store outage applies the version of its peers", "[config]") {
  cluster_options options;
  options.vms = 2;
  test_cluster cluster(options);
  server_instance& late = cluster.Instance(role::kGateway, 2);
  // No other instance has the late one as a seed, so that it finds no peer while it has no seeds itself.
  const json late_address = StrCat("127.0.0.1:", late.peer_port);
  for (auto& instance : cluster.instances()) {
    json& others = instance->settings["seeds"];
    others.erase(std::remove(others.begin(), others.end(), late_address), others.end());
    if (instance.get() != &late) cluster.Start(*instance);
  }
  server_instance& admin = cluster.Instance(role::kAdmin, 1);
  for (int base = 0; base < 3; ++base) REQUIRE(Apply(admin, base, MakeDocument(base + 1)).status == 200);
  REQUIRE(cluster.WaitForVersion(3));
  cluster.ControlPlatform({{"mode", "down"}, {"answer", "refuse"}});
  const json seeds = late.settings["seeds"];
  late.settings["seeds"] = json::array();
  cluster.Start(late);
  std::this_thread::sleep_for(seconds(4));
  CHECK(VersionOf(late) == 0);
  late.program->Kill();
  late.settings["seeds"] = seeds;
  cluster.Start(late);
  CHECK(WaitUntil([&] { return VersionOf(late) == 3; }, kInForceLimit));
}

// Result of one run of the command-line client.
struct client_result {
  int exit_status = -1;
  std::string output;
};

client_result RunClient(test_cluster& cluster, int port, std::vector<std::string> arguments) {
  static int runs = 0;
  std::vector<std::string> all{"--endpoint",   StrCat("127.0.0.1:", port),
                               "--token",      kOperatorToken,
                               "--operator",   "ann",
                               "--timeout-ms", "2000"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  process client("hickorystall", all, cluster.folder() / StrCat("client-", ++runs, ".log"));
  const std::optional<int> status = client.Wait(seconds(20));
  return {status.value_or(-1), client.Log()};
}

std::string WriteFile(test_cluster& cluster, const std::string& name, const std::string& text) {
  const auto path = cluster.folder() / name;
  std::ofstream(path) << text;
  return path.string();
}

// Guards against commands that report success for a refused change, and against a drain that removes comments
// from the document.
TEST_CASE("the client validates, dry-runs, applies and drains", "[config]") {
  cluster_options options;
  options.vms = 1;
  options.roles = {role::kAdmin};
  test_cluster cluster(options);
  cluster.StartAll();
  const int port = cluster.Instance(role::kAdmin, 1).http_port;
  const std::string text =
      "{\"inventory\": {\"failure_domains\": [\"a\"], \"racks\": [{\"name\": \"r\", \"failure_domain\": "
      "\"a\"}],\n"
      "// the only worker\n"
      "\"vms\": [{\"name\": \"w1\", \"address\": \"10.0.0.1:80\", \"rack\": \"r\", \"kind\": \"worker\", "
      "\"processors\": 8, \"memory_mib\": 1024, \"accelerators\": 8}],\n"
      "\"workspaces\": [{\"name\": \"s\", \"token_sha256\": \"" +
      std::string(64, 'a') + "\", \"guarantees\": [{\"members\": 1, \"accelerators\": 8}]}]}, \"rules\": {}}";
  const std::string good = WriteFile(cluster, "good.json", text);
  const std::string bad = WriteFile(cluster, "bad.json", "{\"inventory\": {\"vm\": 1}, \"rules\": {}}");

  CHECK(RunClient(cluster, port, {"validate", good}).exit_status == 0);
  const client_result refused = RunClient(cluster, port, {"validate", bad});
  CHECK(refused.exit_status == 1);
  CHECK(refused.output.find("line 1: inventory.vm: is not a known key") != std::string::npos);
  CHECK(RunClient(cluster, port, {"apply", bad, "--base", "0"}).exit_status == 1);
  CHECK(RunClient(cluster, port, {"apply", good}).exit_status == 2);
  CHECK(RunClient(cluster, port, {"apply", good, "--base", "0"}).exit_status == 0);
  const client_result conflict = RunClient(cluster, port, {"apply", good, "--base", "0"});
  CHECK(conflict.exit_status == 1);
  CHECK(conflict.output.find("version_conflict") != std::string::npos);
  CHECK(conflict.output.find("ran: no") != std::string::npos);

  std::string drained = text;
  drained.replace(drained.find("{\"name\": \"w1\""), 1, "{\"drained\": true, ");
  const client_result effect =
      RunClient(cluster, port, {"dry-run", WriteFile(cluster, "drained.json", drained)});
  CHECK(effect.exit_status == 0);
  const json report = json::parse(effect.output, nullptr, false);
  REQUIRE(report.is_object());
  CHECK(report["changes"]["vms_drained"] == json::array({"w1"}));
  CHECK(report["changes"]["guarantees_that_do_not_fit"][0]["workspace"] == "s");

  CHECK(RunClient(cluster, port, {"drain", "w2"}).exit_status == 1);
  CHECK(RunClient(cluster, port, {"drain", "w1"}).exit_status == 0);
  CHECK(GetJson(cluster.Instance(role::kAdmin, 1), "/v1/config")["document"] == drained);
  CHECK(RunClient(cluster, port, {"undrain", "w1"}).exit_status == 0);
  const json history = GetJson(cluster.Instance(role::kAdmin, 1), "/v1/config/history")["versions"];
  REQUIRE(history.size() == 3);
  CHECK(history[0]["operator"] == "ann");
  CHECK(RunClient(cluster, port, {"status"}).output.find("\"config_version\": 3") != std::string::npos);
  CHECK(SendOnce(port, {"GET", "/v1/config", {}, ""}).status == 401);
}

// Guards against reporting a change that is in force as failed, and against applying it twice. Both happen
// when a lost reply to a write is taken for a failure.
TEST_CASE("a configuration write whose reply is lost is applied once", "[config]") {
  cluster_options options;
  options.vms = 1;
  options.roles = {role::kAdmin};
  options.proxied = true;
  test_cluster cluster(options);
  cluster.StartAll();
  server_instance& admin = cluster.Instance(role::kAdmin, 1);
  // The store's reply to the admin instance is lost.
  cluster.ControlPlatform({{"mode", "lose_replies"}, {"count", 1}, {"prefix", "config/"}});
  const test_response response = Apply(admin, 0, MakeDocument(1));
  INFO(response.body);
  CHECK(response.status == 200);
  CHECK(response.Json()["version"] == 1);
  // The admin instance's reply to the operator is lost.
  const int port = cluster.AddLink("operator>admin", admin.http_port);
  cluster.ControlProxy(
      {{"set",
        {{{"link", "operator>admin"}, {"direction", "to_client"}, {"mode", "drop_replies"}, {"count", 1}}}}});
  const auto file = cluster.folder() / "change.json";
  { std::ofstream(file) << MakeDocument(2); }
  const client_result applied = RunClient(cluster, port, {"apply", file, "--base", "1"});
  INFO(applied.output);
  CHECK(applied.exit_status == 0);
  const json history = GetJson(admin, "/v1/config/history")["versions"];
  REQUIRE(history.size() == 2);
  CHECK(history[0]["version"] == 2);
}

}  // namespace
}  // namespace hickorystall::harness
