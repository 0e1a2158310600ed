// Tests that the stored progress of a job never exceeds the limits of the store, whatever its size and that
// of its checkpoints.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool/job_api.h"
#include "coordination/pool/memory_store.h"
#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/standin_workers.h"
#include "coordination/run_coroutine.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr char kLargeJob[] = "00000000000000aa";
constexpr char kSmallJob[] = "00000000000000ae";
constexpr std::size_t kRowBytes = 65'536;
// Bytes of rows that fit into a call of 1 MB, in base64 and with the names of the rows.
constexpr std::size_t kCallBytes = 700'000;
constexpr milliseconds kTakeoverWait{10'000};

job_submission MakeSubmission(const std::string& id, int tasks) {
  job_submission submission;
  submission.id = id;
  submission.workspace = "w";
  submission.queue = "q";
  submission.service = "s";
  submission.priority = 1;
  submission.max_attempts = 4;
  submission.stretch = 3.0;
  submission.accepted_at = transport::WallNow();
  step_request step;
  step.task_count = tasks;
  step.need = {1000, 1024, 1};
  step.estimate = std::chrono::seconds(10);
  step.checkpointable = true;
  submission.request.steps = {step};
  return submission;
}

// Returns a job of which all tasks have begun and failed once, on workers with ids of the usual length.
job_entry MakeBegunJob(int tasks) {
  job_entry job;
  job.submission = MakeSubmission(kLargeJob, tasks);
  job.phase = job_phase::kRunning;
  job.occurrences[0] = MakeOccurrence(job.submission.request);
  std::vector<work_unit>& units = job.occurrences[0].steps[0].units;
  for (int i = 0; i < tasks; ++i) {
    units[i].last_run = 2;
    units[i].failed_runs = {1};
    units[i].unresolved_workers = {"worker-" + std::to_string(i)};
  }
  return job;
}

// Stores a job that has not begun.
void StoreJob(memory_store& store, const job_submission& submission) {
  const std::string& id = submission.id;
  const std::string progress = R"({"occurrences":{},"phase":"queued","queue":"q","workspace":"w"})";
  store.ApplyNow({{},
                  {{kJobsTable, id, EncodeSubmission(submission), JobPartition(id)},
                   {kProgressTable, id, progress, JobPartition(id)}}});
}

// A store with the platform's limits and `worker_count` registered workers with 8 accelerators each.
struct limited_fixture {
  explicit limited_fixture(int worker_count) {
    store.row_limit = kRowBytes;
    store.call_limit = kCallBytes;
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

  int CountRunning(const std::string& job, int tasks) const {
    int running = 0;
    for (int i = 0; i < tasks; ++i) running += workers.CountRuns(TaskName(job, 0, 0, i));
    return running;
  }

  memory_store store;
  standin_workers workers;
  asio::io_context loop;
};

}  // namespace

// Guards against a job that never starts again after its owner and its runs were lost: its checkpoints made
// the row of its progress larger than the store accepts, and its starts waited for that row.
TEST_CASE("a job whose checkpoints outgrow a row starts again", "[pool]") {
  constexpr int kTasks = 96;
  constexpr int kWorkers = kTasks / 8;
  struct checkpoint_kind {
    std::string text;
    bool is_kept;
  };
  // Just over one row in all; characters that JSON escapes; over a call in all; as long as a row; longer.
  const auto kind = GENERATE(
      checkpoint_kind{std::string(700, 'c'), true}, checkpoint_kind{std::string(700, '\x01'), true},
      checkpoint_kind{std::string(12'000, 'c'), false}, checkpoint_kind{std::string(kRowBytes, 'c'), false},
      checkpoint_kind{std::string(kRowBytes + 1, 'c'), false});
  limited_fixture fixture(kWorkers);
  fixture.workers.checkpoint_of = [&](const std::string& task) {
    return task.starts_with(kLargeJob) ? kind.text : "";
  };
  StoreJob(fixture.store, MakeSubmission(kLargeJob, kTasks));
  std::vector<std::unique_ptr<owner_vm>> owners;
  const auto start_owner = [&](const std::string& name) {
    owners.push_back(std::make_unique<owner_vm>(name, TestOwnership(), TestPool(), fixture.store,
                                                fixture.workers, fixture.loop));
  };
  start_owner("a");
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool started =
        co_await WaitUntil([&] { return fixture.CountRunning(kLargeJob, kTasks) == kTasks; });
    CHECK(started);
    owners.back()->Kill();
    fixture.workers.EndAll(end_kind::kLeaseExpired);
    const int starts = fixture.workers.starts;
    fixture.workers.start_checkpoints.clear();
    start_owner("b");
    const bool restarted =
        co_await WaitUntil([&] { return fixture.CountRunning(kLargeJob, kTasks) == kTasks; }, kTakeoverWait);
    CHECK(restarted);
    CHECK(fixture.workers.starts == starts + kTasks);
    // A later owner knows the checkpoints that could be stored.
    owners.back()->Kill();
    fixture.workers.checkpoint_of = nullptr;
    fixture.workers.EndAll(end_kind::kLeaseExpired);
    fixture.workers.start_checkpoints.clear();
    start_owner("c");
    const bool restarted_again =
        co_await WaitUntil([&] { return fixture.CountRunning(kLargeJob, kTasks) == kTasks; }, kTakeoverWait);
    CHECK(restarted_again);
    int kept = 0;
    for (const auto& [task, checkpoint] : fixture.workers.start_checkpoints) kept += checkpoint == kind.text;
    if (kind.is_kept) CHECK(kept == kTasks);
    CHECK(fixture.store.oversized == 0);
    // Another job of the partition is not held up.
    fixture.workers.EndAll(end_kind::kDone);
    StoreJob(fixture.store, MakeSubmission(kSmallJob, 1));
    const bool is_other_served =
        co_await WaitUntil([&] { return fixture.CountRunning(kSmallJob, 1) == 1; }, kTakeoverWait);
    CHECK(is_other_served);
    const bool is_completed = co_await WaitUntil([&] {
      return fixture.store.Value(kProgressTable, kLargeJob).find("completed") != std::string::npos;
    });
    CHECK(is_completed);
    owners.back()->Kill();
    co_await transport::Sleep(milliseconds(20));
  });
}

// Guards against starts that hold capacity for ever because the store does not take their record.
TEST_CASE("starts that cannot be recorded are given up", "[pool]") {
  limited_fixture fixture(1);
  const std::string unstored_job = "00000000000000aa";
  const std::string other_job = "00000000000000bb";
  REQUIRE(JobPartition(unstored_job) != JobPartition(other_job));
  owner_vm vm("a", TestOwnership(), TestPool(), fixture.store, fixture.workers, fixture.loop);
  fixture.Run([&]() -> asio::awaitable<void> {
    const bool owned = co_await WaitUntil([&] { return vm.is_owner(); });
    CHECK(owned);
    co_await transport::Sleep(milliseconds(50));
    fixture.store.refused_partition = JobPartition(unstored_job);
    StoreJob(fixture.store, MakeSubmission(unstored_job, 8));
    co_await transport::Sleep(milliseconds(300));
    StoreJob(fixture.store, MakeSubmission(other_job, 8));
    const bool is_other_served =
        co_await WaitUntil([&] { return fixture.CountRunning(other_job, 8) == 8; }, milliseconds(5000));
    CHECK(is_other_served);
    CHECK(fixture.CountRunning(unstored_job, 8) == 0);
    // The job goes on once the store takes its progress again.
    fixture.store.refused_partition.clear();
    fixture.workers.EndAll(end_kind::kDone);
    const bool is_served =
        co_await WaitUntil([&] { return fixture.CountRunning(unstored_job, 8) == 8; }, milliseconds(5000));
    CHECK(is_served);
    vm.Kill();
    co_await transport::Sleep(milliseconds(20));
  });
}

// Guards against a row, or rows of one job, that the store refuses: the size of the encoded progress was
// bounded by assumptions about its parts.
TEST_CASE("no row of the progress of a job exceeds the limits", "[pool]") {
  const int tasks = GENERATE(1, 96, 2760);
  const std::size_t checkpoint_size = GENERATE(0U, 24U, 240U, 3000U, 65'536U);
  const char character = GENERATE('c', '\x01');
  progress_limits limits;
  // Whether 2,760 units in progress fit into fewer rows is for the planner to ensure.
  limits.row_bytes = tasks < 1000 ? GENERATE(4096U, 65'536U) : 65'536U;
  limits.total_bytes = std::min<std::size_t>(60 * limits.row_bytes, 524'288);
  job_entry job = MakeBegunJob(tasks);
  std::vector<work_unit>& units = job.occurrences[0].steps[0].units;
  // Different sizes, so that some fit where others do not.
  for (int i = 0; i < tasks; ++i) units[i].checkpoint = std::string(checkpoint_size * (i % 4) / 3, character);
  const encoded_progress encoded = EncodeProgress(job, limits);
  CHECK(encoded.row.size() <= limits.row_bytes);
  std::string continuation;
  for (const std::string& row : encoded.extra_rows) {
    CHECK(row.size() <= limits.row_bytes);
    continuation += row;
  }
  CHECK(continuation.size() <= limits.total_bytes);
  CHECK(encoded.extra_rows.size() <= pool_settings::kMaxProgressRows);
  job_entry restored;
  restored.submission = job.submission;
  REQUIRE(RestoreProgress(encoded.row, continuation, restored).ok());
  CHECK(restored.extra_rows == encoded.extra_rows.size());
  int dropped = 0;
  for (int i = 0; i < tasks; ++i) {
    const work_unit& unit = restored.occurrences.at(0).steps[0].units[i];
    CHECK(unit.last_run == units[i].last_run);
    CHECK(unit.failed_runs == units[i].failed_runs);
    CHECK(unit.unresolved_workers == units[i].unresolved_workers);
    if (unit.checkpoint == units[i].checkpoint) continue;
    CHECK(unit.checkpoint.empty());
    ++dropped;
  }
  CHECK(dropped == encoded.dropped_checkpoints);
}

// Guards against an encoding that is one byte too long, or is split or loses a checkpoint too early.
TEST_CASE("progress is split and checkpoints are left out exactly at the limits", "[pool]") {
  progress_limits limits;
  limits.row_bytes = 1000;
  limits.total_bytes = 3000;
  job_entry job = MakeBegunJob(1);
  std::string& checkpoint = job.occurrences[0].steps[0].units[0].checkpoint;
  checkpoint = "c";
  const std::size_t other_bytes = EncodeProgress(job, limits).row.size() - 1;
  checkpoint.assign(limits.row_bytes - other_bytes, 'c');
  CHECK(EncodeProgress(job, limits).row.size() == limits.row_bytes);
  CHECK(EncodeProgress(job, limits).extra_rows.empty());
  checkpoint += 'c';
  CHECK(EncodeProgress(job, limits).extra_rows.size() == 1);
  const std::size_t body_bytes = EncodeProgress(job, limits).extra_rows[0].size() - checkpoint.size();
  checkpoint.assign(limits.total_bytes - body_bytes, 'c');
  const encoded_progress largest = EncodeProgress(job, limits);
  CHECK(largest.extra_rows.size() == 3);
  CHECK(largest.extra_rows[2].size() == limits.row_bytes);
  CHECK(largest.dropped_checkpoints == 0);
  checkpoint += 'c';
  const encoded_progress without = EncodeProgress(job, limits);
  CHECK(without.extra_rows.empty());
  CHECK(without.dropped_checkpoints == 1);
}

// Guards against jobs of an earlier version that are unreadable after an update.
TEST_CASE("progress stored by an earlier version is read", "[pool]") {
  job_entry job;
  job.submission = MakeSubmission(kLargeJob, 3);
  job.submission.request.occurrences = 3;
  const std::string text =
      R"({"finished":[1],"occurrences":{"0":[[1,{"checkpoint":"c","failed_runs":[2],"run":3,"workers":["w"]},0]]},)"
      R"("phase":"running","queue":"q","scheduled":true,"workspace":"w"})";
  REQUIRE(RestoreProgress(text, "", job).ok());
  const std::vector<work_unit>& units = job.occurrences.at(0).steps[0].units;
  CHECK(units[0].done);
  CHECK(units[1].last_run == 3);
  CHECK(units[1].checkpoint == "c");
  CHECK(units[1].unresolved_workers == std::set<std::string>{"w"});
  CHECK(job.finished_occurrences == std::set<int>{1});
  // Progress that fits into a row keeps this form, which earlier versions read.
  job_entry small = MakeBegunJob(2);
  CHECK(EncodeProgress(small).row.find("occurrences") != std::string::npos);
}

// Guards against a job that can never be stored but is refused as if a later attempt could succeed.
TEST_CASE("a job that is too large to be stored is refused", "[pool]") {
  const progress_limits limits;
  job_submission submission = MakeSubmission(kLargeJob, 1);
  const std::size_t other_bytes = EncodeSubmission(submission).size();
  submission.request.payload.assign(limits.row_bytes - other_bytes, 'c');
  CHECK(CheckStorable(submission, limits).ok());
  submission.request.payload += 'c';
  CHECK_FALSE(CheckStorable(submission, limits).ok());
  event_log log("size");
  memory_store store;
  store.row_limit = kRowBytes;
  job_api api(store, log, limits);
  const job_api_result result =
      coordination::RunCoroutine(api.Submit(submission, BootNow() + milliseconds(3000)));
  REQUIRE(result.refusal.has_value());
  CHECK(*result.refusal == state::error_kind::kJobImpossible);
  CHECK(store.writes == 0);
  job_submission many = MakeSubmission(kLargeJob, static_cast<int>(limits.total_bytes / 4));
  CHECK(CheckStorable(many, limits).ok());
  ++many.request.steps[0].task_count;
  CHECK_FALSE(CheckStorable(many, limits).ok());
}

}  // namespace hickorystall::tests
