#include "coordination/job_store.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <cassert>

#include "protocol/job_codec.h"
#include "protocol/token_hash.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using state::job_record;
using state::job_state;

namespace {

// Time limit for waiting for a write, far above the deadlines of the write; the writer always sets the event.
constexpr std::chrono::hours kWriteWaitLimit{1};

}  // namespace

job_record* job_batch::Find(const std::string& id) {
  if (const auto changed = changed_.find(id); changed != changed_.end()) {
    return state::IsFinal(changed->second.state) ? nullptr : &changed->second;
  }
  const auto found = active_.find(id);
  return found == active_.end() ? nullptr : &(changed_[id] = found->second);
}

void job_batch::Insert(job_record record) {
  const std::string id = record.id;
  changed_[id] = std::move(record);
}

job_store::job_store(protocol::table_client& table, pool_lease& lease, job_store_settings settings)
    : table_(table), lease_(lease), settings_(std::move(settings)) {}

asio::awaitable<absl::Status> job_store::Load() {
  const std::string prefix = protocol::JobPrefix(settings_.pool);
  const absl::StatusOr<std::vector<protocol::table_row>> rows = co_await table_.Scan(prefix);
  if (!rows.ok()) co_return rows.status();
  Clear();
  for (const protocol::table_row& row : *rows) {
    absl::StatusOr<job_record> record = protocol::DecodeJobRecord(row.value);
    if (!record.ok()) {
      LOG(ERROR) << "scheduler: row " << row.key << " is ignored: " << record.status().message();
      continue;
    }
    const std::string id = record->id;
    if (state::IsFinal(record->state)) {
      final_[id] = record->finished_at;
    } else {
      active_[id] = *std::move(record);
    }
  }
  stale_ = false;
  LOG(INFO) << "scheduler: loaded " << active_.size() << " active and " << final_.size()
            << " final jobs of pool " << settings_.pool;
  co_return absl::OkStatus();
}

void job_store::Clear() {
  active_.clear();
  final_.clear();
  unmatched_cancels_.clear();
  stale_ = true;
}

const job_record* job_store::Find(const std::string& id) const {
  const auto found = active_.find(id);
  return found == active_.end() ? nullptr : &found->second;
}

asio::awaitable<absl::Status> job_store::Commit(change make_change) {
  const auto request = std::make_shared<pending_change>(co_await asio::this_coro::executor);
  request->make_change = std::move(make_change);
  pending_.push_back(request);
  if (!writing_) {
    writing_ = true;
    while (!pending_.empty()) co_await WritePending();
    writing_ = false;
    co_return request->status;
  }
  co_await request->done.Wait(kWriteWaitLimit);
  co_return request->status;
}

asio::awaitable<void> job_store::WritePending() {
  std::deque<std::shared_ptr<pending_change>> requests;
  requests.swap(pending_);
  job_batch batch(active_);
  absl::Status status;
  if (stale_) {
    status = absl::UnavailableError("the jobs must be loaded first");
  } else {
    for (const auto& request : requests) request->make_change(batch);
    status = co_await Write(batch);
  }
  if (status.ok()) {
    ApplyCommitted(batch);
  } else if (absl::IsAborted(status)) {
    lease_.MarkLost();
    stale_ = true;
  } else if (absl::IsUnknown(status)) {
    stale_ = true;
  }
  for (const auto& request : requests) {
    request->status = status;
    request->done.Set();
  }
}

asio::awaitable<absl::Status> job_store::Write(const job_batch& batch) {
  if (batch.changed().empty() && batch.deletes().empty() && batch.puts().empty()) co_return absl::OkStatus();
  if (!lease_.owns(pool_lease::clock::now())) {
    co_return absl::UnavailableError("the pool lease has expired");
  }
  const std::string token = protocol::RandomId();
  protocol::table_transaction transaction;
  transaction.conditions.push_back(lease_.condition());
  for (const auto& [id, record] : batch.changed()) {
    transaction.puts.push_back(
        {protocol::JobKey(settings_.pool, id), protocol::EncodeJobRecord(record, token)});
  }
  transaction.deletes = batch.deletes();
  transaction.puts.insert(transaction.puts.end(), batch.puts().begin(), batch.puts().end());
  // A batch without a job row can be repeated without harm, so any of its rows serves as the marker.
  const std::string marker =
      transaction.puts.empty() ? transaction.deletes.front() : transaction.puts.front().key;
  co_return co_await protocol::TransactAndConfirm(table_, std::move(transaction), marker, token,
                                                  settings_.confirm_timeout);
}

void job_store::ApplyCommitted(const job_batch& batch) {
  for (const auto& [id, record] : batch.changed()) {
    if (state::IsFinal(record.state)) {
      active_.erase(id);
      final_[id] = record.finished_at;
    } else {
      active_[id] = record;
    }
  }
}

asio::awaitable<absl::StatusOr<std::size_t>> job_store::ApplyInbox(
    std::function<std::string(const job_record&)> check, state::wall_time now) {
  absl::StatusOr<std::vector<protocol::table_row>> rows =
      co_await table_.Scan(protocol::InboxPrefix(settings_.pool));
  if (!rows.ok()) co_return rows.status();
  const std::string submits = protocol::InboxSubmitKey(settings_.pool, "");
  // Submissions come first, so that a cancellation in the same batch finds its job.
  std::stable_partition(rows->begin(), rows->end(),
                        [&](const protocol::table_row& row) { return row.key.starts_with(submits); });
  for (std::size_t begin = 0; begin < rows->size(); begin += settings_.inbox_batch) {
    const std::size_t end = std::min(rows->size(), begin + settings_.inbox_batch);
    const absl::Status status = co_await Commit([&](job_batch& batch) {
      for (std::size_t i = begin; i < end; ++i) {
        const protocol::table_row& row = (*rows)[i];
        if (row.key.starts_with(submits)) {
          ApplySubmission(batch, row, check, now);
        } else {
          ApplyCancellation(batch, row, now);
        }
      }
    });
    if (!status.ok()) co_return status;
  }
  co_return rows->size();
}

void job_store::ApplySubmission(job_batch& batch, const protocol::table_row& row,
                                const std::function<std::string(const job_record&)>& check,
                                state::wall_time now) {
  absl::StatusOr<job_record> record = protocol::DecodeJobRecord(row.value);
  if (!record.ok()) {
    // The row is an accepted job, so it is kept: an owner that runs a newer version may be able to read it.
    LOG_IF(ERROR, unreadable_.insert(row.key).second)
        << "scheduler: inbox row " << row.key << " is kept but cannot be read: " << record.status().message();
    return;
  }
  batch.Delete(row.key);
  // The row was applied before; only its deletion is repeated.
  if (batch.Find(record->id) != nullptr || final_.contains(record->id)) return;
  record->state = job_state::kQueued;
  if (const std::string reason = check(*record); !reason.empty()) {
    record->state = job_state::kRefused;
    record->reason = reason;
    record->finished_at = now;
    LOG(INFO) << "scheduler: job " << record->id << " is refused: " << reason;
  }
  batch.Insert(*std::move(record));
}

// A cancellation whose job is not known may have been written, together with the job's row, while the inbox
// was being read. It is dropped if the job is still not known when the inbox is read again.
void job_store::ApplyCancellation(job_batch& batch, const protocol::table_row& row, state::wall_time now) {
  const std::string id = row.key.substr(protocol::InboxCancelKey(settings_.pool, "").size());
  job_record* record = batch.Find(id);
  if (record == nullptr && !final_.contains(id) && !batch.changed().contains(id) &&
      unmatched_cancels_.insert(id).second) {
    return;
  }
  unmatched_cancels_.erase(id);
  batch.Delete(row.key);
  if (record == nullptr) return;
  if (state::HoldsWorkers(record->state)) {
    record->cancel_requested = true;
    return;
  }
  record->state = job_state::kCancelled;
  record->reason = "cancelled while it was queued";
  record->finished_at = now;
}

asio::awaitable<void> job_store::DeleteExpired(state::wall_time now) {
  std::vector<std::string> expired;
  for (const auto& [id, finished_at] : final_) {
    if (now - finished_at < settings_.retention) continue;
    expired.push_back(id);
    if (expired.size() == settings_.expiry_batch) break;
  }
  if (expired.empty()) co_return;
  const absl::Status status = co_await Commit([&](job_batch& batch) {
    for (const std::string& id : expired) batch.Delete(protocol::JobKey(settings_.pool, id));
  });
  if (!status.ok()) co_return;
  for (const std::string& id : expired) final_.erase(id);
}

}  // namespace hickorystall::coordination
