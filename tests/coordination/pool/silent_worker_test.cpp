// Tests of the waits for silent workers across changes of owner.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "coordination/pool/leasing_workers.h"
#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_owner.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/standin_workers.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::BootNow;

namespace {

constexpr char kJob[] = "00000000000000aa";
const std::string kTask = TaskName(kJob, 0, 0, 0);

ownership_settings FastOwnership() {
  ownership_settings settings;
  settings.renewal = milliseconds(20);
  settings.takeover_timeout = milliseconds(80);
  settings.authority = milliseconds(1000);
  settings.margin = milliseconds(20);
  return settings;
}

pool_settings LongLeases() {
  pool_settings settings;
  settings.headroom = 0;
  settings.worker_lease = milliseconds(3000);
  settings.max_worker_lease = milliseconds(10'000);
  return settings;
}

struct two_vm_fixture {
  two_vm_fixture() {
    store.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
    for (const char* id : {"worker-0", "worker-1"}) {
      store.ApplyNow({{}, {{kRegistryTable, id, R"({"address":"127.0.0.1:1","born":1})"}}});
    }
  }

  // Waits until the job runs and returns its worker.
  asio::awaitable<std::string> StartJob() {
    SubmitTask(store, kJob);
    co_await WaitUntil([this] { return workers.starts > 0; }, milliseconds(2000));
    co_return workers.CountRunsOn("worker-0") > 0 ? "worker-0" : "worker-1";
  }

  bool IsStoredAsSilent(const std::string& worker) const {
    return store.Value(kWorkersTable, kSilentWorkersKey).find(worker) != std::string::npos;
  }

  void Run(std::function<asio::awaitable<void>()> work) {
    asio::co_spawn(loop, work, [](const std::exception_ptr& failure) {
      if (failure) std::rethrow_exception(failure);
    });
    loop.run();
  }

  memory_store store;
  standin_workers workers;
  asio::io_context loop;
};

}  // namespace

// Guards against a job that waits anew after a change of owner: the new owner assumed that its predecessor
// had renewed the lease of a silent worker until the end of its authority.
TEST_CASE("a new owner counts the silence that its predecessor saw", "[pool]") {
  two_vm_fixture fixture;
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    const auto silent_at = BootNow();
    fixture.workers.unreachable.insert(worker);
    const bool stored =
        co_await WaitUntil([&] { return fixture.IsStoredAsSilent(worker); }, milliseconds(3500));
    CHECK(stored);
    first.Kill();
    second = std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                        fixture.loop);
    // The last lease is granted within a second and expires 3.3 s later. Counted from the takeover and the
    // end of the authority it would be 6.7 s or more.
    co_await WaitUntil([&] { return fixture.workers.starts > 1; }, milliseconds(8000));
    const milliseconds waited = BootNow() - silent_at;
    CHECK(waited > milliseconds(3000));
    CHECK(waited < milliseconds(5500));
    second->Kill();
  });
}

// Guards against a wait that begins anew with each of several owners in a row.
TEST_CASE("the silence of a worker outlasts an owner that was short", "[pool]") {
  two_vm_fixture fixture;
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  std::unique_ptr<owner_vm> third;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    const auto silent_at = BootNow();
    fixture.workers.unreachable.insert(worker);
    const bool stored =
        co_await WaitUntil([&] { return fixture.IsStoredAsSilent(worker); }, milliseconds(3500));
    CHECK(stored);
    first.Kill();
    second = std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                        fixture.loop);
    co_await WaitUntil([&] { return second->is_owner(); }, milliseconds(2000));
    co_await transport::Sleep(milliseconds(800));
    CHECK(fixture.IsStoredAsSilent(worker));
    second->Kill();
    third = std::make_unique<owner_vm>("c", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                       fixture.loop);
    co_await WaitUntil([&] { return fixture.workers.starts > 1; }, milliseconds(9000));
    const milliseconds waited = BootNow() - silent_at;
    CHECK(waited > milliseconds(3000));
    CHECK(waited < milliseconds(6500));
    third->Kill();
  });
}

// Guards against granting a lease that the stored end of the leases does not cover: a later owner would start
// the task a second time.
TEST_CASE("a worker that replies again gets a lease only after its silence is removed", "[pool]") {
  two_vm_fixture fixture;
  owner_vm vm("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    const auto is_stored = [&] { return fixture.IsStoredAsSilent(worker); };
    fixture.workers.unreachable.insert(worker);
    const bool stored = co_await WaitUntil(is_stored, milliseconds(3500));
    CHECK(stored);
    int leases_while_stored = 0;
    fixture.workers.on_lease = [&](const std::string& id) {
      if (id == worker && is_stored()) ++leases_while_stored;
    };
    fixture.store.refused_table = kWorkersTable;
    fixture.workers.unreachable.clear();
    co_await transport::Sleep(milliseconds(600));
    CHECK(leases_while_stored == 0);
    fixture.store.refused_table.clear();
    int leases = 0;
    fixture.workers.on_lease = [&](const std::string& id) {
      if (id != worker) return;
      ++leases;
      if (is_stored()) ++leases_while_stored;
    };
    const bool renewed = co_await WaitUntil([&] { return leases > 0; }, milliseconds(1000));
    CHECK(renewed);
    CHECK(leases_while_stored == 0);
    vm.Kill();
  });
}

// Guards against a start that is sent to a worker after it has stopped replying: its lease would be extended,
// and the task could not start elsewhere until then.
TEST_CASE("a start is not sent to a worker that has stopped replying", "[pool]") {
  two_vm_fixture fixture;
  owner_vm vm("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await WaitUntil([&] { return vm.is_owner(); }, milliseconds(2000));
    co_await transport::Sleep(milliseconds(100));
    // The start is planned, but its record is not stored until the worker is known to be silent.
    fixture.store.refused_table = kProgressTable;
    SubmitTask(fixture.store, kJob);
    const auto is_called = [&] { return !fixture.workers.endpoints.empty(); };
    fixture.workers.endpoints.clear();
    co_await WaitUntil(is_called, milliseconds(2000));
    CHECK(is_called());
    const std::string worker = fixture.workers.endpoints.begin()->first;
    fixture.workers.unreachable.insert(worker);
    co_await transport::Sleep(milliseconds(2700));
    const auto stored_at = BootNow();
    fixture.store.refused_table.clear();
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts > 0; }, milliseconds(2000));
    CHECK(started);
    CHECK(BootNow() - stored_at < milliseconds(2000));
    vm.Kill();
  });
}

// Guards against losing the address of a worker whose registration lapsed while it runs a task: the next
// owner could not call it and waited for its lease.
TEST_CASE("a new owner calls an unregistered worker at its stored address", "[pool]") {
  two_vm_fixture fixture;
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    fixture.store.ApplyNow({{}, {{kRegistryTable, worker, std::nullopt}}});
    co_await transport::Sleep(milliseconds(300));
    first.Kill();
    fixture.workers.endpoints.clear();
    second = std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                        fixture.loop);
    co_await WaitUntil([&] { return fixture.workers.endpoints.contains(worker); }, milliseconds(3000));
    CHECK(fixture.workers.endpoints[worker] == "127.0.0.1:1");
    second->Kill();
  });
}

// Guards against two runs of one task: a start that is repeated to a worker stored as silent may reach its
// next incarnation, whose lease the stored end does not cover.
TEST_CASE("a start is not repeated to a worker that is stored as silent", "[pool]") {
  two_vm_fixture fixture;
  leasing_workers workers{seconds(10)};
  const auto boot = [&](const std::string& id, std::int64_t incarnation) {
    workers.Boot(id, incarnation, worker_time(seconds(1000 / incarnation)));
  };
  boot("worker-0", 1);
  boot("worker-1", 1);
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(400));
    std::string crashed;
    workers.on_start = [&](const std::string& id) {
      if (crashed.empty()) workers.Crash(crashed = id);
    };
    SubmitTask(fixture.store, kJob);
    co_await WaitUntil([&] { return !crashed.empty(); });
    REQUIRE_FALSE(crashed.empty());
    const std::string other = crashed == "worker-0" ? "worker-1" : "worker-0";
    // The next incarnation executes what it receives and no reply of it arrives.
    boot(crashed, 2);
    workers.LoseReplies(crashed);
    const bool stored =
        co_await WaitUntil([&] { return fixture.IsStoredAsSilent(crashed); }, milliseconds(3500));
    CHECK(stored);
    first.Kill();
    second =
        std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, workers, fixture.loop);
    const bool moved =
        co_await WaitUntil([&] { return workers.IsRunning(other, kTask); }, milliseconds(9000));
    CHECK(moved);
    CHECK_FALSE(workers.IsRunning(crashed, kTask));
    for (const leasing_workers::received_start& start : workers.starts) CHECK(start.incarnation == 1);
    second->Kill();
  });
}

// Guards against a wait that begins anew with each owner: an owner stored the silence only of
// workers that it had reached itself and whose starts were all answered.
TEST_CASE("an owner stores the silence of a worker that it has never reached", "[pool]") {
  two_vm_fixture fixture;
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  std::unique_ptr<owner_vm> third;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    fixture.workers.unreachable.insert(worker);
    first.Kill();
    second = std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                        fixture.loop);
    co_await WaitUntil([&] { return second->is_owner(); });
    const auto second_began = BootNow();
    const bool stored =
        co_await WaitUntil([&] { return fixture.IsStoredAsSilent(worker); }, milliseconds(2200));
    CHECK(stored);
    second->Kill();
    third = std::make_unique<owner_vm>("c", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                       fixture.loop);
    co_await WaitUntil([&] { return fixture.workers.starts > 1; }, milliseconds(9000));
    // The first owner's authority of 1 s and its lease of 3.3 s end at most 4.3 s after its last renewal.
    const milliseconds waited = BootNow() - second_began;
    CHECK(waited > milliseconds(3000));
    CHECK(waited < milliseconds(4700));
    third->Kill();
  });
}

// Guards against withholding leases for as long as the store refuses the record, which then names nobody.
TEST_CASE("a worker whose silence was not stored gets a lease when it replies", "[pool]") {
  two_vm_fixture fixture;
  owner_vm vm("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    fixture.store.refused_table = kWorkersTable;
    fixture.workers.unreachable.insert(worker);
    co_await transport::Sleep(milliseconds(2600));
    fixture.workers.unreachable.clear();
    int leases = 0;
    fixture.workers.on_lease = [&](const std::string& id) { leases += id == worker ? 1 : 0; };
    const bool renewed = co_await WaitUntil([&] { return leases > 0; }, milliseconds(2000));
    CHECK(renewed);
    vm.Kill();
  });
}

// Guards against trusting a row that the direct predecessor did not write: it may run a program that grants
// leases without regard to the row.
TEST_CASE("an outdated record of silence is ignored", "[pool]") {
  two_vm_fixture fixture;
  // A VM must outlive the loop.
  std::unique_ptr<owner_vm> second;
  owner_vm first("a", FastOwnership(), LongLeases(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const std::string worker = co_await fixture.StartJob();
    first.Kill();
    fixture.store.ApplyNow(
        {{}, {{kWorkersTable, kSilentWorkersKey, R"({"epoch":0,"expire_ms":{"worker-0":1,"worker-1":1}})"}}});
    fixture.workers.unreachable.insert(worker);
    second = std::make_unique<owner_vm>("b", FastOwnership(), LongLeases(), fixture.store, fixture.workers,
                                        fixture.loop);
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts > 1; }, milliseconds(2500));
    CHECK_FALSE(started);
    second->Kill();
  });
}

}  // namespace hickorystall::tests
