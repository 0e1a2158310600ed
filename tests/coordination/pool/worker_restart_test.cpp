// Tests of workers that restart under the same id.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "coordination/pool/leasing_workers.h"
#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
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
constexpr char kFirst[] = "worker-0";
constexpr char kSecond[] = "worker-1";
constexpr milliseconds kMaxLease{5000};
// Interval from the crash of a worker to its return, and from there to its registration.
constexpr milliseconds kDowntime{700};
constexpr milliseconds kRegistrationDelay{700};

ownership_settings Ownership() {
  ownership_settings settings;
  settings.renewal = milliseconds(50);
  settings.takeover_timeout = milliseconds(500);
  settings.authority = milliseconds(2000);
  settings.margin = milliseconds(50);
  return settings;
}

pool_settings Pool() {
  pool_settings settings;
  settings.worker_lease = milliseconds(1500);
  settings.max_worker_lease = kMaxLease;
  settings.headroom = 0;
  return settings;
}

struct restart_fixture {
  restart_fixture() {
    store.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
    Boot(kFirst, 1, worker_time(seconds(1000)));
    Register(kFirst, 1);
  }

  void Boot(const std::string& worker, std::int64_t incarnation, worker_time clock) {
    workers.Boot(worker, incarnation, clock);
  }

  void Register(const std::string& worker, std::int64_t incarnation) {
    const std::string row = R"({"address":"127.0.0.1:1","born":)" + std::to_string(incarnation) + "}";
    store.ApplyNow({{}, {{kRegistryTable, worker, row}}});
  }

  // Ends the first worker and starts its next incarnation, whose registration follows later.
  asio::awaitable<void> Restart() {
    workers.Crash(kFirst);
    co_await transport::Sleep(kDowntime);
    Boot(kFirst, 2, worker_time(milliseconds(0)));
    co_await transport::Sleep(kRegistrationDelay);
    Register(kFirst, 2);
  }

  void Run(std::function<asio::awaitable<void>()> work) {
    asio::co_spawn(loop, work, [](const std::exception_ptr& failure) {
      if (failure) std::rethrow_exception(failure);
    });
    loop.run();
  }

  memory_store store;
  leasing_workers workers{kMaxLease};
  asio::io_context loop;
};

}  // namespace

// Guards against two runs of one task: a repeated start reached the next incarnation of its worker before the
// owner knew of it, with a deadline on the earlier incarnation's clock, and the lease outlasted the bound.
TEST_CASE("a task does not start elsewhere while a restarted worker runs it", "[pool]") {
  restart_fixture fixture;
  const std::string task = TaskName(kJob, 0, 0, 0);
  owner_vm vm("a", Ownership(), Pool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await WaitUntil([&] { return vm.is_owner(); }, seconds(2));
    // The worker is idle for longer than a reply counts as recent.
    co_await transport::Sleep(milliseconds(600));
    SubmitTask(fixture.store, kJob);
    co_await fixture.Restart();
    const bool runs = co_await WaitUntil([&] { return fixture.workers.IsRunning(kFirst, task); }, seconds(4));
    REQUIRE(runs);
    // The first run may have been started before the restart was known, and is then replaced.
    co_await transport::Sleep(milliseconds(600));
    REQUIRE(fixture.workers.IsRunning(kFirst, task));
    fixture.workers.SetSilent(kFirst, true);
    fixture.Boot(kSecond, 1, worker_time(seconds(2000)));
    fixture.Register(kSecond, 1);
    const bool moved =
        co_await WaitUntil([&] { return fixture.workers.IsRunning(kSecond, task); }, seconds(8));
    CHECK(moved);
    CHECK_FALSE(fixture.workers.IsRunning(kFirst, task));
    vm.Kill();
  });
}

// Guards against a start that waits for the lease of a worker that had crashed before it: without a reply it
// may be executed late, so that its task could not start elsewhere.
TEST_CASE("a start is not sent to an idle worker that has crashed", "[pool]") {
  restart_fixture fixture;
  const std::string task = TaskName(kJob, 0, 0, 0);
  owner_vm vm("a", Ownership(), Pool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await WaitUntil([&] { return vm.is_owner(); }, seconds(2));
    co_await transport::Sleep(milliseconds(600));
    fixture.workers.Crash(kFirst);
    SubmitTask(fixture.store, kJob);
    co_await transport::Sleep(milliseconds(300));
    fixture.Boot(kSecond, 1, worker_time(seconds(2000)));
    fixture.Register(kSecond, 1);
    const auto begin = BootNow();
    const bool started =
        co_await WaitUntil([&] { return fixture.workers.IsRunning(kSecond, task); }, seconds(8));
    CHECK(started);
    // Less than the lease of 1.5 s and the 3 s for which an unanswered start is repeated.
    CHECK(BootNow() - begin < milliseconds(1500));
    for (const leasing_workers::received_start& start : fixture.workers.starts) CHECK(start.was_executed);
    vm.Kill();
  });
}

// Guards against forgotten ends: the numbers of ends start anew with each incarnation, so the acknowledgement
// of an earlier one made the next incarnation forget ends that no owner had read.
TEST_CASE("an acknowledgement does not reach the next incarnation of a worker", "[pool]") {
  restart_fixture fixture;
  const std::string task = TaskName(kJob, 0, 0, 0);
  owner_vm vm("a", Ownership(), Pool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    SubmitTask(fixture.store, kJob);
    co_await WaitUntil([&] { return fixture.workers.IsRunning(kFirst, task); }, seconds(3));
    fixture.workers.Complete(kFirst, task);
    SubmitTask(fixture.store, "00000000000000ab");
    co_await WaitUntil([&] { return fixture.workers.acknowledged[1] == 1; }, seconds(3));
    CHECK(fixture.workers.acknowledged[1] == 1);
    co_await fixture.Restart();
    co_await transport::Sleep(milliseconds(500));
    CHECK(fixture.workers.acknowledged.contains(2));
    CHECK(fixture.workers.acknowledged[2] == 0);
    vm.Kill();
  });
}

// Guards against a second run of a task that is done (review/3): a start without a reply was carried out
// late, by the next incarnation of its worker, which knew nothing of the run.
TEST_CASE("a late start does not begin a run on the next incarnation of its worker", "[pool]") {
  restart_fixture fixture;
  const std::string task = TaskName(kJob, 0, 0, 0);
  owner_vm vm("a", Ownership(), Pool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    fixture.workers.HoldNextStart();
    SubmitTask(fixture.store, kJob);
    co_await WaitUntil([&] { return fixture.workers.IsRunning(kFirst, task); }, seconds(3));
    fixture.workers.Complete(kFirst, task);
    co_await transport::Sleep(milliseconds(500));
    // The registration may lapse before the worker is back.
    const bool has_lapsed = GENERATE(false, true);
    if (has_lapsed) fixture.store.ApplyNow({{}, {{kRegistryTable, kFirst, std::nullopt}}});
    co_await fixture.Restart();
    co_await transport::Sleep(milliseconds(500));
    CHECK(fixture.workers.starts.size() == 2);
    CHECK_FALSE(fixture.workers.ExecuteHeldStart());
    vm.Kill();
  });
}

}  // namespace hickorystall::tests
