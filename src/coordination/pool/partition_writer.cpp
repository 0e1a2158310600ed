#include "coordination/pool/partition_writer.h"

#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kReplyTimeout{800};
// Pauses after a write that was not confirmed. They are doubled up to the maximum, so that an owner does not
// overload a store that rejects its writes.
constexpr milliseconds kRetryPause{100};
constexpr milliseconds kMaxRetryPause{800};
// Time for which changes are batched when no caller waits for them, such as the removal of a run.
constexpr milliseconds kBatchTime{500};
// A transaction holds up to 100 entries: the condition on the owner's epoch, a condition and a write for each
// job, and four rows for each removal.
constexpr std::size_t kJobsPerWrite = 30;
constexpr std::size_t kRemovalsPerWrite = 8;

template <typename T>
std::set<T> ExtractUpTo(std::set<T>& from, std::size_t limit) {
  std::set<T> extracted;
  while (!from.empty() && extracted.size() < limit) extracted.insert(from.extract(from.begin()));
  return extracted;
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
  state::pool::boot_time batch_begin = BootNow();
  while (!stopped_) {
    const bool idle = changed_.empty() && removals_.empty();
    if (idle) batch_begin = BootNow();
    if (idle || (!urgent_ && BootNow() - batch_begin < kBatchTime)) {
      co_await wake_.Wait(kBatchTime);
      continue;
    }
    co_await WriteOnce();
    batch_begin = BootNow();
  }
}

boost::asio::awaitable<bool> partition_writer::WaitStored(state::pool::boot_time limit) {
  // A write in progress may not include the changes; the next one does.
  const std::int64_t needed = changed_.empty() ? next_write_ - 1 : next_write_;
  // A caller waits, so nothing more is batched. Otherwise the worker's next lists, and the free capacity that
  // they show, would be delayed by half a second.
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
  std::set<std::string> jobs = ExtractUpTo(changed_, kJobsPerWrite);
  std::set<std::string> removals = ExtractUpTo(removals_, kRemovalsPerWrite);
  const bool holds_all_changes = changed_.empty();
  if (holds_all_changes) urgent_ = false;
  const std::int64_t write = next_write_;
  if (holds_all_changes) ++next_write_;
  const std::int64_t epoch = owner_.epoch();
  const transaction_result result = co_await store_.Apply(MakeTransaction(jobs, removals), kReplyTimeout);
  if (stopped_ || owner_.epoch() != epoch) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    if (failures_ > 0) log_.Write("writer", "store takes writes again", {{"partition", partition_}});
    failures_ = 0;
    for (const std::string& id : jobs) {
      const auto job = state_.jobs().find(id);
      if (job != state_.jobs().end()) job->second.row_version = result.version;
    }
    if (holds_all_changes) {
      stored_write_ = write;
      stored_.Notify();
    }
    co_return;
  }
  changed_.merge(jobs);
  removals_.merge(removals);
  urgent_ = true;
  if (result.outcome == transaction_outcome::kConflict) {
    HandleConflict(result);
    co_return;
  }
  if (failures_ == 0) {
    log_.Write("writer", "write not confirmed",
               {{"partition", partition_},
                {"outcome", result.outcome == transaction_outcome::kUnknown ? "unknown" : "not_done"},
                {"jobs", std::to_string(changed_.size())}});
  }
  const milliseconds pause = std::min(kRetryPause * (1 << std::min(failures_, 4)), kMaxRetryPause);
  ++failures_;
  co_await transport::Sleep(pause);
}

void partition_writer::HandleConflict(const transaction_result& result) {
  for (const stored_row& row : result.current) {
    if (row.table == kOwnershipTable && row.version != owner_.epoch_version()) {
      owner_.Lose("another VM has a higher epoch");
      return;
    }
    if (row.table != kProgressTable) continue;
    const auto job = state_.jobs().find(row.key);
    // An earlier write of this owner was applied and its reply was lost: only the owner of the epoch writes
    // these rows.
    if (job != state_.jobs().end()) job->second.row_version = row.version;
  }
}

}  // namespace hickorystall::coordination::pool
