// Tests of workers whose registration lapses and returns.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_codec.h"
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
using transport::BootNow;

namespace {

constexpr int kWorkers = 4;
constexpr char kRegistration[] = R"({"address":"127.0.0.1:1","born":1})";

std::string WorkerId(int index) { return "worker-" + std::to_string(index); }

void Register(memory_store& store) {
  for (int i = 0; i < kWorkers; ++i) store.ApplyNow({{}, {{kRegistryTable, WorkerId(i), kRegistration}}});
}

void Deregister(memory_store& store) {
  for (int i = 0; i < kWorkers; ++i) store.ApplyNow({{}, {{kRegistryTable, WorkerId(i), std::nullopt}}});
}

ownership_settings FastOwnership() {
  ownership_settings settings;
  settings.renewal = milliseconds(20);
  settings.takeover_timeout = milliseconds(80);
  settings.authority = milliseconds(2000);
  settings.margin = milliseconds(20);
  return settings;
}

pool_settings NoHeadroom() {
  pool_settings settings;
  settings.headroom = 0;
  return settings;
}

// Delays the next write of the list of workers.
class slow_list_store : public memory_store {
 public:
  asio::awaitable<transaction_result> Apply(store_transaction transaction, milliseconds timeout) override {
    if (delay.count() > 0 && transaction.changes.front().key == kWorkersKey) {
      is_writing = true;
      co_await transport::Sleep(std::exchange(delay, milliseconds(0)));
      is_writing = false;
    }
    co_return co_await memory_store::Apply(std::move(transaction), timeout);
  }
  milliseconds delay{0};
  bool is_writing = false;
};

// Runs `scenario` beside an owner with `kWorkers` workers, then submits a job. Returns whether it is started
// within 3 s.
bool StartsJobAfter(memory_store& store, std::function<asio::awaitable<void>()> scenario) {
  standin_workers workers;
  asio::io_context loop;
  bool is_started = false;
  store.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
  Register(store);
  owner_vm vm("a", FastOwnership(), NoHeadroom(), store, workers, loop);
  const auto run = [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(500));
    co_await scenario();
    SubmitTask(store, "00000000000000aa");
    const auto limit = BootNow() + milliseconds(3000);
    while (workers.starts == 0 && BootNow() < limit) co_await transport::Sleep(milliseconds(10));
    is_started = workers.starts > 0;
    vm.Kill();
  };
  asio::co_spawn(loop, run, [](const std::exception_ptr& failure) {
    if (failure) std::rethrow_exception(failure);
  });
  loop.run();
  return is_started;
}

}  // namespace

// Guards against a start on a worker that the list of workers is about to leave out: a later owner would not
// know its address.
TEST_CASE("a worker that returns while the list is written is not used before the next write", "[pool]") {
  slow_list_store store;
  int starts_while_writing = 0;
  CHECK(StartsJobAfter(store, [&]() -> asio::awaitable<void> {
    store.delay = milliseconds(800);
    Deregister(store);
    const auto limit = BootNow() + milliseconds(3000);
    while (!store.is_writing && BootNow() < limit) co_await transport::Sleep(milliseconds(5));
    CHECK(store.is_writing);
    Register(store);
    SubmitTask(store, "00000000000000aa");
    while (store.is_writing) {
      if (store.Value(kProgressTable, "00000000000000aa").find("worker-") != std::string::npos)
        ++starts_while_writing;
      co_await transport::Sleep(milliseconds(5));
    }
  }));
  CHECK(starts_while_writing == 0);
}

// Guards against idle workers that are never used again: the stored list of workers was compared by id, so an
// entry that was erased and made anew stayed unrecorded until another worker came or went.
TEST_CASE("workers whose registration lapsed and returned are used again", "[pool]") {
  memory_store store;
  SECTION("within a second") {
    CHECK(StartsJobAfter(store, [&]() -> asio::awaitable<void> {
      Deregister(store);
      co_await transport::Sleep(milliseconds(400));
      Register(store);
      co_await transport::Sleep(milliseconds(1500));
    }));
  }
  SECTION("while the list of workers cannot be stored") {
    CHECK(StartsJobAfter(store, [&]() -> asio::awaitable<void> {
      store.refused_table = kWorkersTable;
      Deregister(store);
      co_await transport::Sleep(milliseconds(2000));
      Register(store);
      co_await transport::Sleep(milliseconds(300));
      store.refused_table.clear();
      co_await transport::Sleep(milliseconds(1500));
    }));
  }
}

}  // namespace hickorystall::tests
