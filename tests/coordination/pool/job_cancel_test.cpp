// Tests that an answered cancellation holds: no submission of the job that is still on its way is applied
// later.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <limits>

#include "coordination/pool/job_api.h"
#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/tombstone.h"
#include "coordination/pool/tombstone_sweeper.h"
#include "coordination/run_coroutine.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using coordination::RunCoroutine;
using state::error_kind;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr char kJob[] = "00000000000000aa";

event_log& Log() {
  static event_log log("cancel");
  return log;
}

job_submission MakeSubmission(const std::string& workspace = "w", int occurrences = 0) {
  job_submission submission;
  submission.id = kJob;
  submission.workspace = workspace;
  submission.queue = "q";
  submission.service = "s";
  submission.max_attempts = 4;
  submission.accepted_at = transport::WallNow();
  step_request step;
  step.need = {1000, 1024, 8};
  step.estimate = std::chrono::seconds(10);
  submission.request.steps = {step};
  submission.request.occurrences = occurrences;
  return submission;
}

boot_time Soon(milliseconds time = milliseconds(3000)) { return BootNow() + time; }

// Makes a call whose writes the store applies only when the test does. Returns one of these equal writes.
store_transaction HoldBack(memory_store& store,
                           const std::function<asio::awaitable<job_api_result>()>& call) {
  store.delayed.clear();
  store.late_writes = std::numeric_limits<int>::max();
  const job_api_result result = RunCoroutine(call());
  store.late_writes = 0;
  REQUIRE(result.refusal.has_value());
  CHECK(*result.refusal == error_kind::kOutcomeUnknown);
  REQUIRE_FALSE(store.delayed.empty());
  return store.delayed.front();
}

// Time for a call that gets no reply.
constexpr milliseconds kShortTime{250};

}  // namespace

// Guards against a job that starts seconds after its cancellation was answered with "no such job", when a
// write of its submission was still on its way to the store.
TEST_CASE("a late submission of a cancelled job is not applied", "[pool]") {
  memory_store store;
  job_api first(store, Log());
  job_api second(store, Log());
  const int occurrences = GENERATE(0, 4);
  const bool is_same_vm = GENERATE(false, true);
  const int cancellations = GENERATE(1, 2);
  const store_transaction late_submission =
      HoldBack(store, [&] { return first.Submit(MakeSubmission("w", occurrences), Soon(kShortTime)); });
  for (int i = 0; i < cancellations; ++i) {
    const job_api_result cancelled = RunCoroutine((is_same_vm ? first : second).Cancel("w", kJob, Soon()));
    REQUIRE(cancelled.refusal.has_value());
    CHECK(*cancelled.refusal == error_kind::kJobUnknown);
  }
  CHECK(store.ApplyNow(late_submission).outcome == transaction_outcome::kConflict);
  CHECK(store.Value(kJobsTable, kJob).empty());
  CHECK(store.Value(kProgressTable, kJob).empty());
  // Another VM, or this one after a restart, refuses a repetition of the submission as not run.
  job_api third(store, Log());
  const job_api_result repeated = RunCoroutine(third.Submit(MakeSubmission("w", occurrences), Soon()));
  REQUIRE(repeated.refusal.has_value());
  CHECK(*repeated.refusal == error_kind::kCancelled);
  CHECK(store.Value(kJobsTable, kJob).empty());
}

// Guards against a cancellation that is answered with "no such job" although the submission was applied while
// the job was being looked for: exactly one of the two must win.
TEST_CASE("a cancellation that meets the submission cancels the job", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  const store_transaction submission =
      HoldBack(store, [&] { return api.Submit(MakeSubmission(), Soon(kShortTime)); });
  const store_transaction tombstone =
      HoldBack(store, [&] { return api.Cancel("w", kJob, Soon(kShortTime)); });
  CHECK(store.ApplyNow(submission).outcome == transaction_outcome::kDone);
  CHECK(store.ApplyNow(tombstone).outcome == transaction_outcome::kConflict);
  const job_api_result cancelled = RunCoroutine(api.Cancel("w", kJob, Soon()));
  CHECK_FALSE(cancelled.refusal.has_value());
  CHECK(RunCoroutine(api.ReadState("w", kJob)).phase == job_phase::kCancelled);
}

// Guards against a workspace that keeps another one from submitting a job, by cancelling its id in advance.
TEST_CASE("a cancellation blocks the id for its own workspace only", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  const job_api_result cancelled = RunCoroutine(api.Cancel("other", kJob, Soon()));
  REQUIRE(cancelled.refusal.has_value());
  CHECK(*cancelled.refusal == error_kind::kJobUnknown);
  CHECK_FALSE(RunCoroutine(api.Submit(MakeSubmission(), Soon())).refusal.has_value());
  CHECK_FALSE(store.Value(kJobsTable, kJob).empty());
  const job_api_result foreign = RunCoroutine(api.Submit(MakeSubmission("other"), Soon()));
  REQUIRE(foreign.refusal.has_value());
  CHECK(*foreign.refusal == error_kind::kIdempotencyKeyReused);
}

// Guards against cancellations of arbitrary ids that fill the store.
TEST_CASE("cancellations of unknown jobs are limited", "[pool]") {
  memory_store store;
  job_api api(store, Log());
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "0000000000000" + std::to_string(100 + i);
    const job_api_result result = RunCoroutine(api.Cancel("w", id, Soon()));
    REQUIRE(result.refusal.has_value());
    refused += *result.refusal == error_kind::kRateLimited ? 1 : 0;
  }
  CHECK(refused >= 200);
  CHECK(store.writes <= 200);
  // The cancellation of a job that exists is not limited.
  CHECK_FALSE(RunCoroutine(api.Submit(MakeSubmission(), Soon())).refusal.has_value());
  CHECK_FALSE(RunCoroutine(api.Cancel("w", kJob, Soon())).refusal.has_value());
}

// Guards against tombstones that are removed while a late write is possible, or that stay for ever, also when
// the owner changes.
TEST_CASE("tombstones are removed after their lifetime", "[pool]") {
  constexpr tombstone_lifetime kLifetime{milliseconds(300), milliseconds(50)};
  memory_store store;
  job_api api(store, Log());
  CHECK(RunCoroutine(api.Cancel("w", kJob, Soon())).refusal.has_value());
  asio::io_context loop;
  ownership_settings settings;
  settings.instance = "a";
  settings.address = "a:1";
  settings.incarnation = "a-1";
  ownership owner(store, Log(), settings);
  tombstone_sweeper former(store, Log(), owner, loop.get_executor(), kLifetime);
  tombstone_sweeper sweeper(store, Log(), owner, loop.get_executor(), kLifetime);
  const std::string key = TombstoneKey(kJob, "w");
  const auto run = [&]() -> asio::awaitable<void> {
    while (!owner.HasAuthority()) co_await transport::Sleep(milliseconds(5));
    asio::co_spawn(loop, former.Run(), asio::detached);
    co_await transport::Sleep(milliseconds(200));
    former.Stop();
    // The next owner does not know how old the tombstone is.
    asio::co_spawn(loop, sweeper.Run(), asio::detached);
    co_await transport::Sleep(milliseconds(200));
    CHECK_FALSE(store.Value(kTombstonesTable, key).empty());
    // A later cancellation starts the time anew.
    store.ApplyNow({{}, {{kTombstonesTable, key, EncodeTombstone(kJob, "w"), JobPartition(kJob)}}});
    co_await transport::Sleep(milliseconds(250));
    CHECK_FALSE(store.Value(kTombstonesTable, key).empty());
    const bool is_removed = co_await WaitUntil([&] { return store.Value(kTombstonesTable, key).empty(); });
    CHECK(is_removed);
    sweeper.Stop();
    owner.Stop();
  };
  asio::co_spawn(loop, owner.Run(), asio::detached);
  asio::co_spawn(loop, run, [](const std::exception_ptr& failure) {
    if (failure) std::rethrow_exception(failure);
  });
  loop.run();
  CHECK_FALSE(RunCoroutine(api.Submit(MakeSubmission(), Soon())).refusal.has_value());
}

}  // namespace hickorystall::tests
