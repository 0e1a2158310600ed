#include "coordination/pool/partition_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

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
// Entries for jobs, which leaves those for the epoch and for removals. One job has at most the condition, its
// row and pool_settings::kMaxProgressRows continuations.
constexpr std::size_t kJobEntriesPerWrite = 67;
static_assert(state::pool::pool_settings::kMaxProgressRows + 2 <= kJobEntriesPerWrite);
// Pauses after a job's progress was refused for good. They are doubled up to the maximum.
constexpr milliseconds kRefusalPause{500};
constexpr milliseconds kMaxRefusalPause{8000};

milliseconds PauseAfterRefusals(int refusals) {
  return std::min(kRefusalPause * (1 << std::clamp(refusals - 1, 0, 4)), kMaxRefusalPause);
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
  changed_.try_emplace(job, unstored_change{++last_change_, kJobsPerWrite});
  if (urgent && !urgent_) wake_.Notify();
  urgent_ = urgent_ || urgent;
}

bool partition_writer::HasDueWork(state::pool::boot_time now) const {
  if (!removals_.empty() && removals_retry_at_ <= now) return true;
  return std::any_of(changed_.begin(), changed_.end(),
                     [now](const auto& entry) { return entry.second.retry_at <= now; });
}

boost::asio::awaitable<void> partition_writer::Run() {
  state::pool::boot_time batch_begin = BootNow();
  while (!stopped_) {
    const bool idle = !HasDueWork(BootNow());
    if (idle) batch_begin = BootNow();
    if (idle || (!urgent_ && BootNow() - batch_begin < kBatchTime)) {
      co_await wake_.Wait(kBatchTime);
      continue;
    }
    co_await WriteOnce();
    batch_begin = BootNow();
  }
}

bool partition_writer::IsStored(const std::string& job, std::int64_t change) const {
  for (const auto* unstored : {&changed_, &in_progress_}) {
    const auto found = unstored->find(job);
    if (found != unstored->end() && found->second.number <= change) return false;
  }
  return true;
}

std::set<std::string> partition_writer::UnstoredJobs() const {
  std::set<std::string> jobs;
  for (const auto* unstored : {&changed_, &in_progress_}) {
    for (const auto& [job, change] : *unstored) jobs.insert(job);
  }
  return jobs;
}

std::int64_t partition_writer::Expedite(const std::set<std::string>& jobs) {
  // Otherwise the worker's next lists, and the free capacity that they show, would be delayed by half a
  // second.
  for (const std::string& job : jobs) urgent_ = urgent_ || changed_.contains(job);
  if (urgent_) wake_.Notify();
  return last_change_;
}

boost::asio::awaitable<std::set<std::string>> partition_writer::WaitStored(std::set<std::string> jobs,
                                                                           std::int64_t change,
                                                                           state::pool::boot_time limit) {
  const auto is_stored = [&](const std::string& job) { return IsStored(job, change); };
  std::erase_if(jobs, is_stored);
  while (!jobs.empty() && !stopped_ && BootNow() < limit) {
    co_await stored_.Wait(limit - BootNow());
    std::erase_if(jobs, is_stored);
  }
  co_return jobs;
}

// The oldest changes go first, so that no job waits longer than it takes to write those before it.
std::vector<partition_writer::change_map::iterator> partition_writer::FindDueChanges(
    state::pool::boot_time now) {
  std::vector<change_map::iterator> due;
  for (auto entry = changed_.begin(); entry != changed_.end(); ++entry) {
    if (entry->second.retry_at <= now) due.push_back(entry);
  }
  std::sort(due.begin(), due.end(),
            [](const auto& left, const auto& right) { return left->second.number < right->second.number; });
  return due;
}

store_transaction partition_writer::BeginWrite() {
  store_transaction transaction;
  transaction.conditions.push_back({kOwnershipTable, kEpochKey, owner_.epoch_version(), partition_});
  const state::pool::boot_time now = BootNow();
  std::size_t max_jobs = kJobsPerWrite;
  std::size_t bytes = 0;
  std::size_t entries = 0;
  for (const change_map::iterator& entry : FindDueChanges(now)) {
    max_jobs = std::min(max_jobs, entry->second.max_jobs);
    if (in_progress_.size() >= max_jobs) break;
    const auto job = state_.jobs().find(entry->first);
    if (job != state_.jobs().end()) {
      progress_limits limits = MakeProgressLimits(state_.settings());
      // The job goes on without the checkpoints that may be the reason of a refusal.
      limits.has_checkpoints = entry->second.refusals == 0;
      encoded_progress progress = EncodeProgress(job->second, limits);
      const std::size_t size = progress.size();
      const std::size_t rows = 2 + std::max(progress.extra_rows.size(), job->second.extra_rows);
      const bool fits =
          bytes + size <= state::pool::pool_settings::kMaxWriteBytes && entries + rows <= kJobEntriesPerWrite;
      if (!in_progress_.empty() && !fits) break;
      bytes += size;
      entries += rows;
      AddProgress(job->second, std::move(progress), entry->second, transaction);
    }
    in_progress_.insert(changed_.extract(entry));
  }
  // Transactions that search for a refused job hold nothing else that may be refused.
  if (max_jobs == kJobsPerWrite && removals_retry_at_ <= now) AddRemovals(transaction);
  return transaction;
}

// The condition on the first row also protects the continuations: every write of a job writes that row.
void partition_writer::AddProgress(state::pool::job_entry& job, encoded_progress progress,
                                   unstored_change& change, store_transaction& transaction) {
  const std::string& id = job.submission.id;
  NoteDroppedCheckpoints(id, progress.dropped_checkpoints);
  transaction.conditions.push_back({kProgressTable, id, job.row_version, partition_});
  transaction.changes.push_back({kProgressTable, id, std::move(progress.row), partition_});
  change.extra_rows = progress.extra_rows.size();
  for (std::size_t i = 0; i < change.extra_rows; ++i) {
    transaction.changes.push_back(
        {kProgressRowsTable, ProgressRowKey(id, i), std::move(progress.extra_rows[i]), partition_});
  }
  for (std::size_t i = change.extra_rows; i < job.extra_rows; ++i)
    transaction.changes.push_back({kProgressRowsTable, ProgressRowKey(id, i), std::nullopt, partition_});
  job.extra_rows = std::max(job.extra_rows, change.extra_rows);
}

void partition_writer::NoteDroppedCheckpoints(const std::string& job, int count) {
  const auto found = dropped_checkpoints_.find(job);
  const int known = found == dropped_checkpoints_.end() ? 0 : found->second;
  if (count == known) return;
  if (known == 0)
    log_.Write("writer", "checkpoints not stored", {{"id", job}, {"count", std::to_string(count)}});
  if (count == 0) {
    dropped_checkpoints_.erase(found);
  } else {
    dropped_checkpoints_[job] = count;
  }
}

int partition_writer::CountDroppedCheckpoints() const {
  int sum = 0;
  for (const auto& [job, count] : dropped_checkpoints_) sum += count;
  return sum;
}

void partition_writer::Remove(const std::string& job) {
  dropped_checkpoints_.erase(job);
  removals_.insert(job);
}

void partition_writer::AddRemovals(store_transaction& transaction) {
  while (!removals_.empty() && removals_in_progress_.size() < kRemovalsPerWrite)
    removals_in_progress_.insert(removals_.extract(removals_.begin()));
  for (const std::string& id : removals_in_progress_) {
    for (const char* table : {kJobsTable, kProgressTable}) {
      transaction.changes.push_back({table, id, std::nullopt, partition_});
      transaction.changes.push_back({table, id + kCancelSuffix, std::nullopt, partition_});
    }
  }
}

void partition_writer::AbandonWrite() {
  // A change made during the write keeps the older number and the refusals of the one that was not stored.
  in_progress_.merge(changed_);
  changed_ = std::exchange(in_progress_, {});
  removals_.merge(removals_in_progress_);
  removals_in_progress_.clear();
  urgent_ = true;
}

boost::asio::awaitable<void> partition_writer::WriteOnce() {
  store_transaction transaction = BeginWrite();
  if (!HasDueWork(BootNow())) urgent_ = false;
  const std::int64_t epoch = owner_.epoch();
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  if (stopped_ || owner_.epoch() != epoch) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    if (failures_ > 0) log_.Write("writer", "store takes writes again", {{"partition", partition_}});
    failures_ = 0;
    conflicts_ = 0;
    if (!removals_in_progress_.empty()) removal_refusals_ = 0;
    for (const auto& [id, change] : in_progress_) {
      const auto job = state_.jobs().find(id);
      if (job != state_.jobs().end()) {
        job->second.row_version = result.version;
        job->second.extra_rows = change.extra_rows;
        job->second.is_unstored = false;
      }
      if (change.refusals > 0) log_.Write("writer", "progress stored again", {{"id", id}});
    }
    in_progress_.clear();
    removals_in_progress_.clear();
    stored_.Notify();
    co_return;
  }
  if (result.outcome == transaction_outcome::kConflict) {
    ++conflicts_;
    if (!HandleConflict(result)) HandleRefusal("unexplained conflict");
    AbandonWrite();
    // The first conflict after a lost reply is resolved by the versions that it returns.
    if (conflicts_ > 1) co_await transport::Sleep(kRetryPause);
    co_return;
  }
  conflicts_ = 0;
  if (result.outcome == transaction_outcome::kNotDone && result.is_permanent) {
    HandleRefusal("refused by the store");
    AbandonWrite();
    co_return;
  }
  AbandonWrite();
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

bool partition_writer::HandleConflict(const transaction_result& result) {
  std::map<std::string_view, std::int64_t> versions;
  for (const stored_row& row : result.current) {
    if (row.table == kOwnershipTable && row.version != owner_.epoch_version()) {
      owner_.Lose("another VM has a higher epoch");
      return true;
    }
    if (row.table == kProgressTable) versions[row.key] = row.version;
  }
  bool is_explained = false;
  for (const auto& [id, version] : versions) is_explained |= CorrectVersion(std::string(id), version);
  if (is_explained) return true;
  // The store may leave out rows that do not exist.
  for (const auto& [id, change] : in_progress_) {
    if (!versions.contains(id)) is_explained |= CorrectVersion(id, 0);
  }
  return is_explained;
}

// A difference shows that an earlier write of this owner was applied and its reply was lost: only the owner
// of the epoch writes these rows.
bool partition_writer::CorrectVersion(const std::string& id, std::int64_t version) {
  const auto job = state_.jobs().find(id);
  if (job == state_.jobs().end() || job->second.row_version == version) return false;
  job->second.row_version = version;
  return true;
}

void partition_writer::HandleRefusal(const std::string& reason) {
  const state::pool::boot_time now = BootNow();
  if (!removals_in_progress_.empty()) {
    ++removal_refusals_;
    removals_retry_at_ = now + PauseAfterRefusals(removal_refusals_);
    if (in_progress_.empty()) {
      log_.Write("writer", "removal refused",
                 {{"partition", partition_},
                  {"reason", reason},
                  {"jobs", std::to_string(removals_in_progress_.size())},
                  {"refusals", std::to_string(removal_refusals_)}});
    }
  }
  const bool is_single = in_progress_.size() == 1 && removals_in_progress_.empty();
  for (auto& [id, change] : in_progress_) {
    change.max_jobs = std::max<std::size_t>(1, in_progress_.size() / 2);
    if (!is_single) continue;
    ++change.refusals;
    change.retry_at = now + PauseAfterRefusals(change.refusals);
    const auto job = state_.jobs().find(id);
    std::size_t bytes = 0;
    if (job != state_.jobs().end()) {
      job->second.is_unstored = true;
      bytes = EncodeProgress(job->second, MakeProgressLimits(state_.settings())).size();
    }
    log_.Write("writer", "progress refused",
               {{"id", id},
                {"reason", reason},
                {"bytes", std::to_string(bytes)},
                {"refusals", std::to_string(change.refusals)}});
  }
}

int partition_writer::CountRefusedJobs() const {
  const auto is_refused = [](const auto& entry) { return entry.second.refusals > 0; };
  return static_cast<int>(std::count_if(changed_.begin(), changed_.end(), is_refused) +
                          std::count_if(in_progress_.begin(), in_progress_.end(), is_refused));
}

}  // namespace hickorystall::coordination::pool
