// Tests of the owner of the pool with stand-ins for the store and the workers: what is recorded before an
// order is sent, and how a later owner uses it.
#include "coordination/pool/pool_owner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/standin_workers.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kFirstJob[] = "00000000000000aa";
constexpr char kSecondJob[] = "00000000000000bb";

// A store with a configuration and `worker_count` registered workers, and the loop in which the test runs.
struct owner_fixture {
  explicit owner_fixture(int worker_count) {
    store.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
    for (int i = 0; i < worker_count; ++i) {
      const std::string id = "worker-" + std::to_string(i);
      store.ApplyNow({{}, {{kRegistryTable, id, R"({"address":"127.0.0.1:1","born":1})"}}});
    }
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

// Guards against a start that is not recorded: a later owner would not know that it must ask that worker.
TEST_CASE("a start is recorded before it is ordered", "[pool]") {
  owner_fixture fixture(1);
  std::string record;
  fixture.workers.on_start = [&](const std::string&) {
    record = fixture.store.Value(kProgressTable, kFirstJob);
  };
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    SubmitTask(fixture.store, kFirstJob);
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts > 0; });
    CHECK(started);
    CHECK(record.find("worker-0") != std::string::npos);
    vm.Kill();
  });
}

// Guards against starts that cannot be recorded because the store accepts no writes.
TEST_CASE("nothing starts while its record is not confirmed", "[pool]") {
  owner_fixture fixture(1);
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    co_await transport::Sleep(milliseconds(50));
    SubmitTask(fixture.store, kFirstJob);
    fixture.store.refused_table = kProgressTable;
    co_await transport::Sleep(milliseconds(400));
    CHECK(fixture.workers.starts == 0);
    fixture.store.refused_table.clear();
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts > 0; });
    CHECK(started);
    vm.Kill();
  });
}

// Guards against starting work on a worker that left or gave notice while the feed of registrations was
// silent: the owner took registrations that were 14.7 s old for current ones.
TEST_CASE("nothing starts while the registrations are outdated", "[pool]") {
  owner_fixture fixture(1);
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    fixture.store.silent_table = kRegistryTable;
    co_await transport::Sleep(milliseconds(2700));
    SubmitTask(fixture.store, kFirstJob);
    co_await transport::Sleep(milliseconds(300));
    CHECK(fixture.workers.starts == 0);
    fixture.store.silent_table.clear();
    // The call that is silent ends after 2 s.
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts > 0; }, milliseconds(3000));
    CHECK(started);
    vm.Kill();
  });
}

// Guards against starting work on a worker that gave notice while the start was being stored.
TEST_CASE("a start is not sent to a worker that has given notice", "[pool]") {
  owner_fixture fixture(2);
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    co_await transport::Sleep(milliseconds(50));
    SubmitTask(fixture.store, kFirstJob);
    fixture.store.refused_table = kProgressTable;
    co_await transport::Sleep(milliseconds(100));
    fixture.store.ApplyNow(
        {{}, {{kRegistryTable, "worker-0", R"({"address":"127.0.0.1:1","born":1,"draining":true})"}}});
    co_await transport::Sleep(milliseconds(200));
    fixture.store.refused_table.clear();
    const bool started =
        co_await WaitUntil([&] { return fixture.workers.CountRuns(TaskName(kFirstJob, 0, 0, 0)) == 1; });
    CHECK(started);
    CHECK(fixture.workers.CountRunsOn("worker-0") == 0);
    CHECK(fixture.workers.CountRunsOn("worker-1") == 1);
    vm.Kill();
  });
}

// Guards against giving up a worker that was only silent: once its runs were lost with their lease, nothing
// called it again, and it stayed unused although it was registered all the time.
TEST_CASE("a worker that was silent for longer than its lease is used again", "[pool]") {
  owner_fixture fixture(1);
  pool_settings settings = TestPool();
  settings.worker_lease = milliseconds(300);
  owner_vm vm("a", TestOwnership(), settings, fixture.store, fixture.workers, fixture.loop);
  const std::string task = TaskName(kFirstJob, 0, 0, 0);
  fixture.Run([&]() -> asio::awaitable<void> {
    SubmitTask(fixture.store, kFirstJob);
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts == 1; });
    CHECK(started);
    co_await transport::Sleep(milliseconds(100));
    fixture.workers.unreachable.insert("worker-0");
    // The call in progress takes a second, the next one its timeout, and the lease half a second.
    co_await transport::Sleep(milliseconds(3500));
    fixture.workers.End("worker-0", task, end_kind::kLeaseExpired);
    fixture.workers.unreachable.clear();
    const bool restarted = co_await WaitUntil([&] { return fixture.workers.starts == 2; });
    CHECK(restarted);
    vm.Kill();
  });
}

// Guards against a second run on a worker that is only cut off: a refused connection may come from a
// firewall. With the orderly end of a waiting call before it, it shows that the process has ended.
TEST_CASE("a refused connection ends a run only after a waiting call was closed", "[pool]") {
  const bool is_closed_first = GENERATE(false, true);
  owner_fixture fixture(2);
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  const std::string task = TaskName(kFirstJob, 0, 0, 0);
  fixture.Run([&]() -> asio::awaitable<void> {
    SubmitTask(fixture.store, kFirstJob);
    const bool started = co_await WaitUntil([&] { return fixture.workers.CountRuns(task) == 1; });
    CHECK(started);
    co_await transport::Sleep(milliseconds(100));
    const std::string worker = fixture.workers.CountRunsOn("worker-0") > 0 ? "worker-0" : "worker-1";
    if (is_closed_first) {
      fixture.workers.signs[worker] = process_sign::kClosed;
      fixture.workers.unreachable.insert(worker);
      // The call that waits for an end returns within a second.
      co_await transport::Sleep(milliseconds(1300));
    }
    fixture.workers.signs[worker] = process_sign::kRefused;
    fixture.workers.unreachable.insert(worker);
    co_await transport::Sleep(milliseconds(1800));
    CHECK(fixture.workers.starts == (is_closed_first ? 2 : 1));
    vm.Kill();
  });
}

// Guards against a pool that is lost because of one malformed message: each owner would give the ownership up
// on the same row or reply.
TEST_CASE("an exception in one row or reply leaves the others in force", "[pool]") {
  owner_fixture fixture(2);
  fixture.store.ApplyNow({{}, {{kRegistryTable, "worker-bad", kUndecodable}}});
  fixture.workers.failing.insert("worker-0");
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    fixture.store.ApplyNow({{}, {{kRegistryTable, "worker-worse", kUndecodable}}});
    SubmitTask(fixture.store, kFirstJob);
    const bool started = co_await WaitUntil([&] { return fixture.workers.CountRunsOn("worker-1") == 1; });
    CHECK(started);
    CHECK(vm.is_owner());
    vm.Kill();
  });
}

// Guards against a pool in which all jobs wait for one partition of the store.
TEST_CASE("a partition that refuses writes delays only its own jobs", "[pool]") {
  owner_fixture fixture(2);
  REQUIRE(JobPartition(kFirstJob) != JobPartition(kSecondJob));
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    co_await transport::Sleep(milliseconds(50));
    SubmitTask(fixture.store, kFirstJob);
    SubmitTask(fixture.store, kSecondJob);
    fixture.store.refused_partition = JobPartition(kFirstJob);
    const bool second_runs =
        co_await WaitUntil([&] { return fixture.workers.CountRuns(TaskName(kSecondJob, 0, 0, 0)) == 1; });
    CHECK(second_runs);
    CHECK(fixture.workers.CountRuns(TaskName(kFirstJob, 0, 0, 0)) == 0);
    fixture.store.refused_partition.clear();
    const bool first_runs =
        co_await WaitUntil([&] { return fixture.workers.CountRuns(TaskName(kFirstJob, 0, 0, 0)) == 1; });
    CHECK(first_runs);
    vm.Kill();
  });
}

// Guards against two runs of one task and against a pool that makes no progress: after a change of owner, one
// worker is unreachable and its run continues.
TEST_CASE("a new owner starts all tasks except those that an unreachable worker may run", "[pool]") {
  owner_fixture fixture(2);
  const std::string first = TaskName(kFirstJob, 0, 0, 0);
  const std::string second = TaskName(kSecondJob, 0, 0, 0);
  auto former = std::make_unique<owner_vm>("a", TestOwnership(), TestPool(), fixture.store, fixture.workers,
                                           fixture.loop);
  std::unique_ptr<owner_vm> next;
  fixture.Run([&]() -> asio::awaitable<void> {
    SubmitTask(fixture.store, kFirstJob);
    const bool started = co_await WaitUntil([&] { return fixture.workers.starts == 1; });
    CHECK(started);
    co_await transport::Sleep(milliseconds(50));
    former->Kill();
    fixture.workers.unreachable.insert(fixture.workers.CountRunsOn("worker-0") > 0 ? "worker-0" : "worker-1");
    next = std::make_unique<owner_vm>("b", TestOwnership(), TestPool(), fixture.store, fixture.workers,
                                      fixture.loop);
    const bool owned = co_await WaitUntil([&] { return next->is_owner(); });
    CHECK(owned);
    SubmitTask(fixture.store, kSecondJob);
    const bool second_started = co_await WaitUntil([&] { return fixture.workers.CountRuns(second) == 1; });
    CHECK(second_started);
    co_await transport::Sleep(milliseconds(300));
    CHECK(fixture.workers.CountRuns(first) == 1);
    next->Kill();
  });
}

}  // namespace hickorystall::tests
