#include "coordination/peer_mesh.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

#include "coordination/fake_table.h"
#include "state/text.h"

namespace hickorystall::coordination {
namespace {

// Upper limit for waiting, not a bound on speed.
constexpr std::chrono::seconds kWaitLimit{20};
const std::string kDocument =
    R"({"inventory": {"failure_domains": [], "racks": [], "vms": [], "workspaces": []}, "rules": {"kinds": []}})";

bool WaitUntil(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

boost::asio::awaitable<absl::StatusOr<std::string>> NoObject(std::string name) {
  co_return absl::NotFoundError(name);
}

// An instance without a store: all that it knows comes from peers.
struct instance {
  instance(const std::string& name, const std::string& role, std::vector<std::string> seeds)
      : config(table, NoObject, {}), mesh(config, Settings(name, role, std::move(seeds))) {}

  static peer_mesh_settings Settings(const std::string& name, const std::string& role,
                                     std::vector<std::string> seeds) {
    peer_mesh_settings settings;
    settings.instance = name;
    settings.role = role;
    settings.vm = "vm-" + name;
    settings.listen = "127.0.0.1:0";
    settings.seeds = std::move(seeds);
    return settings;
  }

  fake_table table;
  config_keeper config;
  peer_mesh mesh;
};

std::vector<std::string> Names(const std::vector<peer_info>& peers) {
  std::vector<std::string> names;
  names.reserve(peers.size());
  for (const peer_info& peer : peers) names.push_back(peer.instance);
  return names;
}

// Guards against instances discovering each other in one direction only.
TEST_CASE("instances find each other through one seed", "[peer_mesh]") {
  instance first("a", "scheduler", {});
  REQUIRE(first.mesh.Start().ok());
  instance second("b", "scheduler", {first.mesh.self().endpoint});
  REQUIRE(second.mesh.Start().ok());
  REQUIRE(WaitUntil([&] { return first.mesh.LivePeers("").size() == 2; }));
  REQUIRE(WaitUntil([&] { return second.mesh.LivePeers("").size() == 2; }));
  CHECK(Names(first.mesh.LivePeers("scheduler")) == std::vector<std::string>{"a", "b"});
  CHECK(first.mesh.LivePeers("gateway").empty());
  CHECK(Names(second.mesh.LivePeers("scheduler")) == std::vector<std::string>{"a", "b"});
}

// Guards against assigning work to an instance that is stopping.
TEST_CASE("an instance that announced leaving no longer counts as live", "[peer_mesh]") {
  instance first("a", "scheduler", {});
  REQUIRE(first.mesh.Start().ok());
  instance second("b", "scheduler", {first.mesh.self().endpoint});
  REQUIRE(second.mesh.Start().ok());
  REQUIRE(WaitUntil([&] { return first.mesh.LivePeers("").size() == 2; }));
  // Each instance learns of the other by a message of its own.
  REQUIRE(WaitUntil([&] { return second.mesh.LivePeers("").size() == 2; }));
  second.mesh.AnnounceLeaving();
  REQUIRE(WaitUntil([&] { return first.mesh.LivePeers("").size() == 1; }));
  CHECK(second.mesh.LivePeers("").size() == 1);
}

// Guards against an instance serving without a configuration after it started during a store outage.
TEST_CASE("a starting instance adopts the configuration of its seed", "[peer_mesh]") {
  instance first("a", "admin", {});
  REQUIRE(first.config.Offer(7, kDocument));
  REQUIRE(first.mesh.Start().ok());
  instance second("b", "gateway", {first.mesh.self().endpoint});
  CHECK_FALSE(second.config.IsReady(std::chrono::steady_clock::now()));
  REQUIRE(second.mesh.Start().ok());
  REQUIRE(WaitUntil([&] { return second.config.version() == 7; }));
  CHECK(second.config.IsReady(std::chrono::steady_clock::now()));
}

// Guards against a delayed message restoring an old version.
TEST_CASE("a pushed version arrives, is confirmed and is never replaced by a lower one", "[peer_mesh]") {
  instance admin("a", "admin", {});
  REQUIRE(admin.mesh.Start().ok());
  instance gateway("b", "gateway", {admin.mesh.self().endpoint});
  REQUIRE(gateway.mesh.Start().ok());
  REQUIRE(WaitUntil([&] { return admin.mesh.LivePeers("gateway").size() == 1; }));
  admin.mesh.PushConfig(9, kDocument);
  REQUIRE(WaitUntil([&] { return gateway.config.version() == 9; }));
  REQUIRE(WaitUntil([&] { return admin.mesh.LivePeers("gateway")[0].config_version == 9; }));
  admin.mesh.PushConfig(8, kDocument);
  admin.mesh.PushConfig(10, kDocument);
  REQUIRE(WaitUntil([&] { return gateway.config.version() == 10; }));
}

TEST_CASE("a job wakeup reaches every scheduler and no other instance", "[peer_mesh]") {
  instance gateway("a", "gateway", {});
  REQUIRE(gateway.mesh.Start().ok());
  instance scheduler("b", "scheduler", {gateway.mesh.self().endpoint});
  instance admin("c", "admin", {gateway.mesh.self().endpoint});
  std::mutex mutex;
  std::vector<std::string> wakeups;
  scheduler.mesh.AddJobWakeupListener([&](const std::string& pool) {
    const std::lock_guard lock(mutex);
    wakeups.push_back("b:" + pool);
  });
  admin.mesh.AddJobWakeupListener([&](const std::string& pool) {
    const std::lock_guard lock(mutex);
    wakeups.push_back("c:" + pool);
  });
  REQUIRE(scheduler.mesh.Start().ok());
  REQUIRE(admin.mesh.Start().ok());
  REQUIRE(WaitUntil([&] { return gateway.mesh.LivePeers("").size() == 3; }));
  gateway.mesh.SendJobWakeup("north");
  REQUIRE(WaitUntil([&] {
    const std::lock_guard lock(mutex);
    return !wakeups.empty();
  }));
  CHECK(wakeups == std::vector<std::string>{"b:north"});
  // Stops the socket threads before the state of the listeners is destroyed.
  scheduler.mesh.Stop();
  admin.mesh.Stop();
}

// Guards against treating a restarted or replaced process as the earlier one.
TEST_CASE("peers expire without messages and are replaced by address", "[peer_table]") {
  using std::chrono::milliseconds;
  peer_table table("10.0.0.1:1", {"10.0.0.2:1", "10.0.0.1:1"}, milliseconds(6000));
  const peer_table::time_point start;
  CHECK(table.Endpoints(start) == std::set<std::string>{"10.0.0.2:1"});
  peer_info peer;
  peer.instance = "b";
  peer.role = "gateway";
  peer.endpoint = "10.0.0.3:1";
  peer.incarnation = 1;
  CHECK(table.RecordContact(peer, start));
  CHECK_FALSE(table.RecordContact(peer, start + milliseconds(10)));
  CHECK(table.Endpoints(start).contains("10.0.0.3:1"));
  CHECK(table.Live("", start + milliseconds(6010)).size() == 1);
  CHECK(table.Live("", start + milliseconds(6011)).empty());
  CHECK_FALSE(table.Endpoints(start + milliseconds(6011)).contains("10.0.0.3:1"));
  peer.incarnation = 2;
  CHECK(table.RecordContact(peer, start + milliseconds(20)));
  peer.instance = "c";
  CHECK(table.RecordContact(peer, start + milliseconds(30)));
  CHECK(Names(table.All()) == std::vector<std::string>{"c"});
}

}  // namespace
}  // namespace hickorystall::coordination
