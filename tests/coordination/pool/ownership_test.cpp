// Tests of ownership, stored progress and clients' calls with a store that loses replies, applies writes late
// or is unreachable.
#include "coordination/pool/ownership.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <catch2/catch.hpp>

#include "coordination/pool/job_api.h"
#include "coordination/pool/memory_store.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/progress_writer.h"
#include "coordination/run_coroutine.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using coordination::RunCoroutine;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

event_log& Log() {
  static event_log log("test");
  return log;
}

ownership_settings Settings(const std::string& vm, const std::string& incarnation) {
  ownership_settings settings;
  settings.instance = vm;
  settings.address = vm + ":1";
  settings.incarnation = incarnation;
  settings.renewal = milliseconds(20);
  settings.takeover_timeout = milliseconds(80);
  settings.authority = milliseconds(200);
  settings.margin = milliseconds(20);
  return settings;
}

// Runs `work` while the objects in `running` run; stops them afterwards.
void RunWith(std::vector<ownership*> running, std::function<asio::awaitable<void>()> work) {
  asio::io_context loop;
  for (ownership* entry : running) asio::co_spawn(loop, entry->Run(), asio::detached);
  asio::co_spawn(
      loop,
      [&]() -> asio::awaitable<void> {
        co_await work();
        for (ownership* entry : running) entry->Stop();
      },
      [](const std::exception_ptr& failure) {
        if (failure) std::rethrow_exception(failure);
      });
  loop.run();
}

}  // namespace

// Guards against two VMs that both permanently consider themselves the only owner.
TEST_CASE("one of two VMs becomes the owner", "[pool]") {
  memory_store store;
  ownership first(store, Log(), Settings("a", "a1"));
  ownership second(store, Log(), Settings("b", "b1"));
  RunWith({&first, &second}, []() -> asio::awaitable<void> { co_await transport::Sleep(milliseconds(300)); });
  CHECK(store.Value(kOwnershipTable, kEpochKey).find("\"epoch\":1") != std::string::npos);
}

// Guards against orders from an owner that cannot reach the store, long after another VM has taken over.
TEST_CASE("an owner without the store loses its authority", "[pool]") {
  memory_store store;
  ownership owner(store, Log(), Settings("a", "a1"));
  RunWith({&owner}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(100));
    CHECK(owner.HasAuthority());
    store.is_down = true;
    co_await transport::Sleep(milliseconds(300));
    CHECK_FALSE(owner.HasAuthority());
    CHECK(owner.is_owner());
    store.is_down = false;
    co_await transport::Sleep(milliseconds(300));
    CHECK(owner.HasAuthority());
    CHECK(owner.epoch() == 1);
  });
}

// Guards against a takeover by a VM that only failed to see the renewals.
TEST_CASE("an unreachable store does not count as a missing renewal", "[pool]") {
  memory_store store;
  const store_transaction lease{
      {},
      {{kOwnershipTable, kEpochKey, R"({"epoch":4})"},
       {kOwnershipTable, kLeaseKey, R"({"holder":"x","vm":"x","address":"x:1","epoch":4})"}}};
  const boot_time written_at = BootNow();
  store.ApplyNow(lease);
  ownership other(store, Log(), Settings("b", "b1"));
  RunWith({&other}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(40));
    store.is_down = true;
    co_await transport::Sleep(milliseconds(200));
    store.is_down = false;
    co_await transport::Sleep(milliseconds(50));
    CHECK_FALSE(other.is_owner());
    co_await transport::Sleep(milliseconds(400));
    CHECK(other.epoch() == 5);
    // The former owner may still send orders until its authority ends. Its last renewal was sent before it
    // was written, however long the store was away afterwards.
    const ownership_settings former = Settings("x", "x1");
    CHECK(other.predecessor_authority_end() >= written_at + former.authority);
    CHECK(other.predecessor_authority_end() <
          written_at + former.authority + former.margin + milliseconds(150));
  });
}

// Guards against recorded starts that wait longer than the former owner can send orders: its authority was
// counted from the takeover instead of from its last renewal.
TEST_CASE("a takeover counts the authority of a silent owner from its last renewal", "[pool]") {
  memory_store store;
  ownership_settings settings = Settings("b", "b1");
  settings.takeover_timeout = milliseconds(400);
  settings.authority = milliseconds(600);
  bool is_standby = false;
  SECTION("a VM that follows the lease") {}
  SECTION("a standby VM") { is_standby = true; }
  settings.standby_delay = milliseconds(50);
  ownership other(store, Log(), settings);
  other.SetStandby(is_standby);
  RunWith({&other}, [&]() -> asio::awaitable<void> {
    boot_time written_at{};
    // The former owner renews its lease twice and then falls silent.
    for (int i = 0; i < 3; ++i) {
      written_at = BootNow();
      store.ApplyNow(
          {{},
           {{kOwnershipTable, kEpochKey, R"({"epoch":4})"},
            {kOwnershipTable, kLeaseKey, R"({"holder":"x","vm":"x","address":"x:1","epoch":4})"}}});
      co_await transport::Sleep(milliseconds(100));
    }
    co_await transport::Sleep(milliseconds(600));
    CHECK(other.epoch() == 5);
    CHECK(other.predecessor_authority_end() >= written_at + settings.authority);
    // A standby VM reads the lease only every 50 ms.
    CHECK(other.predecessor_authority_end() <
          written_at + settings.authority + settings.margin + milliseconds(250));
  });
}

// Guards against two runs of one task: an owner that was cut off from the store was forgotten as soon as its
// successor released the lease, restarted or lost the reply to its takeover, although it could still order.
TEST_CASE("the authority of an owner outlasts the ownership of its successor", "[pool]") {
  memory_store store;
  const auto with_authority = [](const std::string& vm, const std::string& incarnation) {
    ownership_settings settings = Settings(vm, incarnation);
    settings.authority = milliseconds(1000);
    return settings;
  };
  const boot_time written_at = BootNow();
  store.ApplyNow({{},
                  {{kOwnershipTable, kEpochKey, R"({"epoch":4})"},
                   {kOwnershipTable, kLeaseKey, R"({"holder":"x","vm":"x","address":"x:1","epoch":4})"}}});
  ownership successor(store, Log(), with_authority("b", "b1"));
  ownership restarted(store, Log(), with_authority("b", "b2"));
  ownership named(store, Log(), with_authority("c", "c1"));
  ownership* last = nullptr;
  RunWith({&successor}, [&]() -> asio::awaitable<void> {
    const auto executor = co_await asio::this_coro::executor;
    SECTION("a hand-over") {
      co_await transport::Sleep(milliseconds(150));
      CHECK(successor.epoch() == 5);
      successor.RequestHandover("c");
      asio::co_spawn(executor, named.Run(), asio::detached);
      last = &named;
    }
    SECTION("a restart") {
      co_await transport::Sleep(milliseconds(150));
      CHECK(successor.epoch() == 5);
      successor.Lose("killed");
      successor.Stop();
      asio::co_spawn(executor, restarted.Run(), asio::detached);
      last = &restarted;
    }
    SECTION("a lost reply") {
      store.lost_replies = 1;
      last = &successor;
    }
    co_await transport::Sleep(milliseconds(400));
    CHECK(last->epoch() == 6);
    CHECK(last->predecessor_authority_end() >= written_at + milliseconds(1000));
    CHECK(last->predecessor_authority_end() < written_at + milliseconds(1300));
    named.Stop();
    restarted.Stop();
  });
}

// Guards against seconds without starts after all VMs were restarted: the earlier incarnation on this VM has
// ended.
TEST_CASE("a restarted process takes over from itself at once", "[pool]") {
  memory_store store;
  const store_transaction lease{
      {},
      {{kOwnershipTable, kEpochKey, R"({"epoch":4})"},
       {kOwnershipTable, kLeaseKey, R"({"holder":"b0","vm":"b","address":"b:1","epoch":4})"}}};
  store.ApplyNow(lease);
  ownership_settings settings = Settings("b", "b1");
  settings.takeover_timeout = std::chrono::seconds(10);
  ownership owner(store, Log(), settings);
  RunWith({&owner}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(100));
    CHECK(owner.epoch() == 5);
    CHECK(owner.predecessor_authority_end() <= BootNow());
  });
}

// Guards against a pool that stays on a VM that is too small for it, and against two owners at a time while
// it moves: the former owner has no authority once the other may take over.
TEST_CASE("an owner hands over to the VM that it names", "[pool]") {
  memory_store store;
  ownership_settings slow = Settings("b", "b1");
  slow.takeover_delay = milliseconds(60);
  ownership first(store, Log(), Settings("a", "a1"));
  ownership named(store, Log(), slow);
  ownership other(store, Log(), Settings("c", "c1"));
  bool both_had_authority = false;
  bool had_authority_at_release = true;
  first.SetListener([&](bool is_owner) {
    if (!is_owner) had_authority_at_release = first.HasAuthority();
  });
  std::vector<ownership*> all{&first, &named, &other};
  RunWith({&first}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(60));
    REQUIRE(first.is_owner());
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, named.Run(), asio::detached);
    asio::co_spawn(executor, other.Run(), asio::detached);
    co_await transport::Sleep(milliseconds(60));
    first.RequestHandover("b");
    const auto end = BootNow() + milliseconds(200);
    while (BootNow() < end) {
      int with_authority = 0;
      for (const ownership* vm : all) with_authority += vm->HasAuthority() ? 1 : 0;
      both_had_authority = both_had_authority || with_authority > 1;
      co_await transport::Sleep(milliseconds(1));
    }
    CHECK_FALSE(first.is_owner());
    CHECK(named.epoch() == 2);
    CHECK_FALSE(both_had_authority);
    CHECK_FALSE(had_authority_at_release);
    // A released lease leaves no authority to wait for.
    CHECK(named.predecessor_authority_end() <= BootNow());
    named.Stop();
    other.Stop();
  });
}

// Guards against a VM that renews the lease although it stopped its work for a hand-over that failed: no VM
// would start anything.
TEST_CASE("a failed hand-over ends the ownership", "[pool]") {
  memory_store store;
  ownership owner(store, Log(), Settings("a", "a1"));
  RunWith({}, [&]() -> asio::awaitable<void> {
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, owner.Run(), [](const std::exception_ptr&) {});
    co_await transport::Sleep(milliseconds(60));
    CHECK(owner.epoch() == 1);
    store.is_broken = true;
    owner.RequestHandover("b");
    co_await transport::Sleep(milliseconds(60));
    store.is_broken = false;
    CHECK_FALSE(owner.HasAuthority());
    // The VM runs a loop again that ended with an exception.
    asio::co_spawn(executor, owner.Run(), asio::detached);
    co_await transport::Sleep(milliseconds(200));
    CHECK(owner.epoch() == 2);
    CHECK(owner.HasAuthority());
    owner.Stop();
  });
}

// Guards against a VM that is too small taking over while stronger ones are there, and against a pool without
// an owner when no stronger one takes over.
TEST_CASE("a standby VM takes over only if no other VM does", "[pool]") {
  const bool has_stronger = GENERATE(true, false);
  memory_store store;
  store.ApplyNow({{},
                  {{kOwnershipTable, kEpochKey, R"({"epoch":4})"},
                   {kOwnershipTable, kLeaseKey, R"({"holder":"x","vm":"x","address":"x:1","epoch":4})"}}});
  ownership_settings settings = Settings("weak", "weak1");
  settings.standby_delay = milliseconds(300);
  ownership standby(store, Log(), settings);
  standby.SetStandby(true);
  ownership_settings slow = Settings("strong", "strong1");
  slow.takeover_delay = milliseconds(350);
  ownership stronger(store, Log(), slow);
  std::vector<ownership*> running{&standby};
  if (has_stronger) running.push_back(&stronger);
  RunWith(running, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(1000));
    CHECK(standby.is_owner() == !has_stronger);
    CHECK(stronger.is_owner() == has_stronger);
  });
}

// Guards against an owner that gives up the pool because the reply to a renewal was lost.
TEST_CASE("an owner keeps the ownership when the reply to a renewal is lost", "[pool]") {
  memory_store store;
  ownership owner(store, Log(), Settings("a", "a1"));
  RunWith({&owner}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(100));
    store.lost_replies = 1;
    co_await transport::Sleep(milliseconds(400));
    CHECK(owner.epoch() == 1);
    CHECK(owner.HasAuthority());
  });
}

// Guards against a write that is applied seconds late and overwrites newer progress.
TEST_CASE("a late write of progress does not undo a newer one", "[pool]") {
  memory_store store;
  ownership owner(store, Log(), Settings("a", "a1"));
  RunWith({&owner}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(60));
    job_entry job;
    job.submission.id = "00000000000000aa";
    job.submission.request.steps.resize(1);
    const store_transaction accepted{
        {}, {{kProgressTable, job.submission.id, EncodeProgress(job).row, JobPartition(job.submission.id)}}};
    job.row_version = store.ApplyNow(accepted).version;
    pool_state state(pool_settings{}, owner.epoch());
    state.AddJob(job, BootNow());
    state.MakeDueOccurrences(BootNow(), unix_time{});
    const auto executor = co_await asio::this_coro::executor;
    progress_writer writer(store, Log(), owner, state, executor);
    writer.Start(
        [&](asio::awaitable<void> loop) { asio::co_spawn(executor, std::move(loop), asio::detached); });
    worker_registration worker;
    worker.id = "w";
    state.SetRegistration(worker, BootNow());
    store.late_table = kProgressTable;
    store.late_writes = 1;
    state.StartUnit({job.submission.id, 0, 0, 0}, {"w"}, BootNow());
    writer.Notify();
    // The write of the start is held back and applied after that of the cancellation.
    while (store.delayed.empty()) co_await transport::Sleep(milliseconds(5));
    state.CancelJob(job.submission.id, BootNow());
    const bool stored = co_await writer.WaitStored(std::chrono::seconds(2));
    CHECK(stored);
    CHECK(store.ApplyNow(store.delayed.front()).outcome == transaction_outcome::kConflict);
    CHECK(store.Value(kProgressTable, job.submission.id).find("cancelled") != std::string::npos);
    writer.Stop();
    co_await transport::Sleep(milliseconds(20));
  });
}

// Guards against ends that are acknowledged half a second late because the writer batched changes although a
// worker's session waited for them.
TEST_CASE("a change that a caller waits for is stored at once", "[pool]") {
  memory_store store;
  ownership owner(store, Log(), Settings("a", "a1"));
  RunWith({&owner}, [&]() -> asio::awaitable<void> {
    co_await transport::Sleep(milliseconds(60));
    job_entry job;
    job.submission.id = "00000000000000aa";
    job.submission.request.steps.resize(1);
    const std::string partition = JobPartition(job.submission.id);
    job.row_version =
        store.ApplyNow({{}, {{kProgressTable, job.submission.id, EncodeProgress(job).row, partition}}})
            .version;
    pool_state state(pool_settings{}, owner.epoch());
    state.AddJob(job, BootNow());
    state.MakeDueOccurrences(BootNow(), unix_time{});
    worker_registration worker;
    worker.id = "w";
    state.SetRegistration(worker, BootNow());
    const auto executor = co_await asio::this_coro::executor;
    progress_writer writer(store, Log(), owner, state, executor);
    writer.Start(
        [&](asio::awaitable<void> loop) { asio::co_spawn(executor, std::move(loop), asio::detached); });
    state.StartUnit({job.submission.id, 0, 0, 0}, {"w"}, BootNow());
    const bool recorded = co_await writer.WaitStored(std::chrono::seconds(2));
    CHECK(recorded);
    // The removal of a run is not an urgent change by itself.
    state.HandleStartReply(TaskName(job.submission.id, 0, 0, 0), 1, start_reply::kRefused, BootNow());
    CHECK_FALSE(state.has_urgent_change());
    const auto begin = BootNow();
    const bool stored = co_await writer.WaitStored(std::chrono::seconds(2));
    CHECK(stored);
    CHECK(BootNow() - begin < milliseconds(250));
    writer.Stop();
    co_await transport::Sleep(milliseconds(20));
  });
}

// Guards against a "did not run" response for a submission whose reply was lost after the store had applied
// it.
TEST_CASE("a submission whose reply was lost is accepted", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  job_submission submission;
  submission.id = "00000000000000aa";
  submission.workspace = "w";
  submission.request.steps.resize(1);
  store.lost_replies = 1;
  const job_api_result result = RunCoroutine(api.Submit(submission, BootNow() + std::chrono::seconds(3)));
  CHECK_FALSE(result.refusal.has_value());
}

// Guards against a "did not run" response to a submission without any reply: its outcome is unknown.
TEST_CASE("a submission without a reply has an unknown outcome", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  job_submission submission;
  submission.id = "00000000000000aa";
  submission.request.steps.resize(1);
  store.is_down = true;
  const job_api_result result = RunCoroutine(api.Submit(submission, BootNow() + milliseconds(400)));
  REQUIRE(result.refusal.has_value());
  CHECK(*result.refusal == state::error_kind::kOutcomeUnknown);
}

// Guards against a second job with the same id.
TEST_CASE("a repeated submission remains one job", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  job_submission submission;
  submission.id = "00000000000000aa";
  submission.workspace = "w";
  submission.request.steps.resize(1);
  const auto deadline = BootNow() + std::chrono::seconds(3);
  CHECK_FALSE(RunCoroutine(api.Submit(submission, deadline)).refusal.has_value());
  const std::string stored = store.Value(kJobsTable, submission.id);
  CHECK_FALSE(RunCoroutine(api.Submit(submission, deadline)).refusal.has_value());
  CHECK(store.Value(kJobsTable, submission.id) == stored);
  const job_api_result cancelled = RunCoroutine(api.Cancel("w", submission.id, deadline));
  CHECK_FALSE(cancelled.refusal.has_value());
  CHECK(RunCoroutine(api.ReadState("w", submission.id)).phase == job_phase::kCancelled);
  const job_api_result unknown = RunCoroutine(api.ReadState("w", "00000000000000bb"));
  REQUIRE(unknown.refusal.has_value());
  CHECK(*unknown.refusal == state::error_kind::kJobUnknown);
}

}  // namespace hickorystall::tests
