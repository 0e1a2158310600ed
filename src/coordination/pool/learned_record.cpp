#include "coordination/pool/learned_record.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <utility>

#include "coordination/pool/learned_codec.h"
#include "coordination/pool/pool_tables.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

namespace asio = boost::asio;
using namespace state::pool::learning;  // NOLINT(google-build-using-namespace)
using state::pool::boot_time;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// A takeover does not wait longer for what only improves its estimates.
constexpr milliseconds kReadTimeout{400};
constexpr milliseconds kWriteTimeout{1000};
// Minimum time between two log records, and the maximum number of workers that one names.
constexpr milliseconds kLogInterval{10'000};
constexpr std::size_t kMaxLoggedWorkers = 20;

// Indexed by speed_class.
constexpr std::array<const char*, kSpeedClasses> kClassNames{"slow", "normal", "fast"};

const char* NameOf(speed_class grade) { return kClassNames[static_cast<std::size_t>(grade)]; }

std::array<int, kSpeedClasses> CountClasses(const state::pool::pool_state& state) {
  std::array<int, kSpeedClasses> counts{};
  for (const auto& [id, worker] : state.workers()) ++counts[static_cast<std::size_t>(worker.speed.grade)];
  return counts;
}

}  // namespace

learned_record::learned_record(pool_store& store, event_log& log, ownership& owner,
                               state::pool::pool_state& state, const asio::any_io_executor& executor,
                               milliseconds check_interval)
    : store_(store),
      log_(log),
      owner_(owner),
      state_(state),
      wake_(executor),
      check_interval_(check_interval) {}

void learned_record::Stop() {
  stopped_ = true;
  wake_.Notify();
}

asio::awaitable<void> learned_record::Load() {
  const rows_result read = co_await store_.ReadRange(kLearnedTable, kPoolPartition, "", "", kReadTimeout);
  if (stopped_) co_return;
  if (!read.status.ok()) {
    log_.Write("scheduler", "learned times not read", {{"reason", std::string(read.status.message())}});
    co_return;
  }
  for (const stored_row& row : read.rows) {
    if (row.key != kLearnedTimesKey) continue;
    std::optional<learned_state> learned = DecodeLearned(row.value);
    if (!learned) {
      log_.Write("scheduler", "learned times unreadable", {{"bytes", std::to_string(row.value.size())}});
      continue;
    }
    state_.ImportLearned(*learned, BootNow());
    log_.Write("scheduler", "learned times read",
               {{"groups", std::to_string(learned->groups.size())},
                {"workers", std::to_string(learned->workers.size())},
                {"bytes", std::to_string(row.value.size())}});
    stored_ = *std::move(learned);
  }
}

asio::awaitable<void> learned_record::Run() {
  while (!stopped_) {
    co_await wake_.Wait(check_interval_);
    if (stopped_) co_return;
    LogClasses(BootNow());
    learned_state learned = state_.ExportLearned();
    if (DiffersMaterially(learned, stored_)) co_await Store(std::move(learned));
  }
}

asio::awaitable<void> learned_record::Store(learned_state learned) {
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, owner_.epoch_version()}};
  transaction.changes = {
      {kLearnedTable, kLearnedTimesKey, EncodeLearned(learned, state_.settings().max_row_bytes)}};
  transaction_result result;
  try {
    result = co_await store_.Apply(std::move(transaction), kWriteTimeout);
  } catch (const std::exception&) {
    // Counts as a write without a reply: an owner is not given up for what it has learned.
  }
  if (result.outcome != transaction_outcome::kDone) {
    // The next check writes what is known then.
    ++failed_writes_;
    co_return;
  }
  ++writes_;
  stored_ = std::move(learned);
}

void learned_record::LogClasses(boot_time now) {
  if (now - logged_at_ < kLogInterval) return;
  std::map<std::string, speed_class> classes;
  for (const auto& [id, worker] : state_.workers()) {
    if (worker.speed.grade != speed_class::kNormal) classes.emplace(id, worker.speed.grade);
  }
  if (classes == logged_classes_) return;
  logged_at_ = now;
  std::size_t changes = 0;
  std::string changed;
  for (const auto& [id, worker] : state_.workers()) {
    const auto before = logged_classes_.find(id);
    const speed_class earlier = before == logged_classes_.end() ? speed_class::kNormal : before->second;
    if (worker.speed.grade == earlier || ++changes > kMaxLoggedWorkers) continue;
    absl::StrAppend(&changed, changed.empty() ? "" : ",", id, ":", NameOf(earlier), ">",
                    NameOf(worker.speed.grade), ":", worker.speed.factor);
  }
  const std::array<int, kSpeedClasses> counts = CountClasses(state_);
  log_fields fields;
  for (int i = 0; i < kSpeedClasses; ++i) fields.emplace_back(kClassNames[i], std::to_string(counts[i]));
  fields.emplace_back("observed", std::to_string(state_.speeds().worker_count()));
  fields.emplace_back("task_spread", absl::StrCat(state_.speeds().task_spread()));
  fields.emplace_back("changes", std::to_string(changes));
  fields.emplace_back("changed", std::move(changed));
  log_.Write("scheduler", "worker speeds", fields);
  logged_classes_ = std::move(classes);
}

std::string learned_record::MetricsToText() const {
  std::string text = "# TYPE hickorystall_pool_workers_by_speed gauge\n";
  const std::array<int, kSpeedClasses> counts = CountClasses(state_);
  for (int i = 0; i < kSpeedClasses; ++i) {
    absl::StrAppend(&text, "hickorystall_pool_workers_by_speed{class=\"", kClassNames[i], "\"} ", counts[i],
                    "\n");
  }
  absl::StrAppend(&text, "# TYPE hickorystall_pool_learned_groups gauge\nhickorystall_pool_learned_groups ",
                  state_.run_times().group_count(),
                  "\n# TYPE hickorystall_pool_learned_writes_total counter\n"
                  "hickorystall_pool_learned_writes_total{result=\"done\"} ",
                  writes_, "\nhickorystall_pool_learned_writes_total{result=\"failed\"} ", failed_writes_,
                  "\n");
  return text;
}

}  // namespace hickorystall::coordination::pool
