// Tests of how long recorded starts wait after a change of owner.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

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
using transport::BootNow;

namespace {

constexpr char kJob[] = "00000000000000aa";

ownership_settings Ownership() {
  ownership_settings settings;
  settings.renewal = milliseconds(50);
  settings.takeover_timeout = milliseconds(500);
  settings.authority = milliseconds(900);
  settings.margin = milliseconds(50);
  return settings;
}

pool_settings Pool() {
  pool_settings settings;
  settings.worker_lease = milliseconds(1500);
  settings.headroom = 0;
  return settings;
}

// Two workers with room for one task each. A VM owns the pool and runs the only task on one of them.
struct takeover_fixture {
  takeover_fixture() {
    store.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
    for (const char* id : {"worker-0", "worker-1"}) {
      store.ApplyNow({{}, {{kRegistryTable, id, R"({"address":"127.0.0.1:1","born":1})"}}});
    }
  }

  owner_vm& StartVm(const std::string& name) {
    vms.push_back(std::make_unique<owner_vm>(name, Ownership(), Pool(), store, workers, loop));
    return *vms.back();
  }

  void Run(std::function<asio::awaitable<void>()> work) {
    const auto run = [&]() -> asio::awaitable<void> {
      owner_vm& first = StartVm("a");
      SubmitTask(store, kJob);
      const bool is_started = co_await WaitUntil([&] { return workers.starts == 1; }, milliseconds(2000));
      REQUIRE(is_started);
      co_await transport::Sleep(milliseconds(100));
      busy_worker = workers.CountRunsOn("worker-0") > 0 ? "worker-0" : "worker-1";
      StartVm("b");
      co_await transport::Sleep(milliseconds(100));
      first_vm = &first;
      co_await work();
      for (const auto& vm : vms) vm->Kill();
    };
    asio::co_spawn(loop, run, [](const std::exception_ptr& failure) {
      if (failure) std::rethrow_exception(failure);
    });
    loop.run();
  }

  // Returns the time from `begin` to the second start of the task.
  asio::awaitable<milliseconds> MeasureRestart(boot_time begin) {
    const bool is_restarted = co_await WaitUntil([&] { return workers.starts == 2; }, milliseconds(6000));
    CHECK(is_restarted);
    co_return BootNow() - begin;
  }

  memory_store store;
  standin_workers workers;
  asio::io_context loop;
  std::vector<std::unique_ptr<owner_vm>> vms;
  owner_vm* first_vm = nullptr;
  std::string busy_worker;
};

}  // namespace

// Guards against tasks that wait for the time of the takeover in addition to the former owner's authority,
// although the worker replied that nothing runs there.
TEST_CASE("a recorded start that does not run waits only for the authority", "[pool]") {
  takeover_fixture fixture;
  fixture.Run([&]() -> asio::awaitable<void> {
    const boot_time silent_since = BootNow();
    fixture.first_vm->Kill();
    fixture.workers.End(fixture.busy_worker, TaskName(kJob, 0, 0, 0), end_kind::kStopped);
    const milliseconds wait = co_await fixture.MeasureRestart(silent_since);
    CHECK(wait >= Ownership().authority - Ownership().renewal);
    CHECK(wait < Ownership().authority + Ownership().margin + milliseconds(350));
  });
}

}  // namespace hickorystall::tests
