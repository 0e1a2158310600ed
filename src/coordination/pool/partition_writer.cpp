#include "coordination/pool/partition_writer.h"

#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kAnswerTimeout{800};
// Pauses after a write that was not confirmed; doubled up to the longest, so that an owner that the store
// turns away does not press it.
constexpr milliseconds kRetryPause{100};
constexpr milliseconds kLongestRetryPause{800};
// Changes that nobody waits for, such as that a run is gone, are collected for this long.
constexpr milliseconds kCollectTime{500};
// A transaction holds 100 entries: a condition and a write a job, the owner's condition, and four rows a
// removal.
constexpr std::size_t kJobsPerWrite = 30;
constexpr std::size_t kRemovalsPerWrite = 8;

template <typename T>
std::set<T> TakeSome(std::set<T>& from, std::size_t most) {
  std::set<T> some;
  while (!from.empty() && some.size() < most) some.insert(from.extract(from.begin()));
  return some;
}

}  // namespace

partition_writer::partition_writer(std::string partition, pool_store& store, event_log& log, ownership& owner,
                                   state::pool::pool_state& state,
                                   const boost::asio::any_io_executor& executor)
    : partition_(std::move(partition)),
      store_(store),
      log_(log),
      owner_(owner),
      state_(state),
      wake_(executor),
      stored_(executor) {}

void partition_writer::Stop() {
  stopped_ = true;
  wake_.Notify();
  stored_.Notify();
}

void partition_writer::Add(const std::string& job, bool urgent) {
  changed_.insert(job);
  if (urgent && !urgent_) wake_.Notify();
  urgent_ = urgent_ || urgent;
}

boost::asio::awaitable<void> partition_writer::Run() {
  state::pool::boot_time collecting_since = BootNow();
  while (!stopped_) {
    const bool idle = changed_.empty() && removals_.empty();
    if (idle) collecting_since = BootNow();
    if (idle || (!urgent_ && BootNow() - collecting_since < kCollectTime)) {
      co_await wake_.Wait(kCollectTime);
      continue;
    }
    co_await WriteOnce();
    collecting_since = BootNow();
  }
}

boost::asio::awaitable<bool> partition_writer::WaitStored(state::pool::boot_time limit) {
  // A write in progress may not hold the changes; the next one does.
  const std::int64_t needed = changed_.empty() ? next_write_ - 1 : next_write_;
  // Somebody waits: nothing more is collected. A worker's next lists, and the capacity that they show to be
  // free, came half a second late otherwise.
  urgent_ = urgent_ || !changed_.empty();
  while (!stopped_ && stored_write_ < needed && BootNow() < limit) {
    wake_.Notify();
    co_await stored_.Wait(limit - BootNow());
  }
  co_return stored_write_ >= needed;
}

store_transaction partition_writer::MakeTransaction(const std::set<std::string>& jobs,
                                                    const std::set<std::string>& removals) {
  store_transaction transaction;
  transaction.conditions.push_back({kOwnershipTable, kEpochKey, owner_.epoch_version(), partition_});
  for (const std::string& id : jobs) {
    const auto job = state_.jobs().find(id);
    if (job == state_.jobs().end()) continue;
    transaction.conditions.push_back({kProgressTable, id, job->second.row_version, partition_});
    transaction.changes.push_back({kProgressTable, id, EncodeProgress(job->second), partition_});
  }
  for (const std::string& id : removals) {
    for (const char* table : {kJobsTable, kProgressTable}) {
      transaction.changes.push_back({table, id, std::nullopt, partition_});
      transaction.changes.push_back({table, id + kCancelSuffix, std::nullopt, partition_});
    }
  }
  return transaction;
}

boost::asio::awaitable<void> partition_writer::WriteOnce() {
  std::set<std::string> jobs = TakeSome(changed_, kJobsPerWrite);
  std::set<std::string> removals = TakeSome(removals_, kRemovalsPerWrite);
  const bool is_whole = changed_.empty();
  if (is_whole) urgent_ = false;
  const std::int64_t write = next_write_;
  if (is_whole) ++next_write_;
  const std::int64_t epoch = owner_.epoch();
  const transaction_result result = co_await store_.Apply(MakeTransaction(jobs, removals), kAnswerTimeout);
  if (stopped_ || owner_.epoch() != epoch) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    if (failures_ > 0) log_.Write("writer", "store takes writes again", {{"partition", partition_}});
    failures_ = 0;
    for (const std::string& id : jobs) {
      const auto job = state_.jobs().find(id);
      if (job != state_.jobs().end()) job->second.row_version = result.version;
    }
    if (is_whole) {
      stored_write_ = write;
      stored_.Notify();
    }
    co_return;
  }
  changed_.merge(jobs);
  removals_.merge(removals);
  urgent_ = true;
  if (result.outcome == transaction_outcome::kConflict) {
    TakeConflict(result);
    co_return;
  }
  if (failures_ == 0) {
    log_.Write("writer", "write not confirmed",
               {{"partition", partition_},
                {"outcome", result.outcome == transaction_outcome::kUnknown ? "unknown" : "not_done"},
                {"jobs", std::to_string(changed_.size())}});
  }
  const milliseconds pause = std::min(kRetryPause * (1 << std::min(failures_, 4)), kLongestRetryPause);
  ++failures_;
  co_await transport::Sleep(pause);
}

void partition_writer::TakeConflict(const transaction_result& result) {
  for (const stored_row& row : result.current) {
    if (row.table == kOwnershipTable && row.version != owner_.epoch_version()) {
      owner_.Lose("another owner wrote the epoch");
      return;
    }
    if (row.table != kProgressTable) continue;
    const auto job = state_.jobs().find(row.key);
    // An earlier write of this owner whose answer was lost: only the owner of the epoch writes these rows.
    if (job != state_.jobs().end()) job->second.row_version = row.version;
  }
}

}  // namespace hickorystall::coordination::pool
