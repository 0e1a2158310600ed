#include "coordination/pool/tombstone_sweeper.h"

#include <utility>

#include "coordination/pool/pool_tables.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kReplyTimeout{1000};
// A transaction holds up to 100 entries: the condition on the owner's epoch, and a condition and a removal
// for each tombstone.
constexpr std::size_t kRemovalsPerWrite = 45;

}  // namespace

tombstone_sweeper::tombstone_sweeper(pool_store& store, event_log& log, ownership& owner,
                                     const boost::asio::any_io_executor& executor,
                                     tombstone_lifetime lifetime)
    : store_(store), log_(log), owner_(owner), lifetime_(lifetime), wake_(executor) {}

void tombstone_sweeper::Stop() {
  stopped_ = true;
  wake_.Notify();
}

boost::asio::awaitable<void> tombstone_sweeper::Run() {
  while (!stopped_) {
    co_await wake_.Wait(lifetime_.sweep);
    for (const std::string_view partition : kJobPartitions) {
      if (!stopped_) co_await Sweep(std::string(partition));
    }
  }
}

tombstone_sweeper::tombstone_map tombstone_sweeper::FindExpired(const std::string& partition,
                                                                const rows_result& rows) {
  const state::pool::boot_time now = BootNow();
  tombstone_map present;
  tombstone_map expired;
  const tombstone_map& known = known_[partition];
  for (const stored_row& row : rows.rows) {
    known_tombstone tombstone{row.version, now};
    const auto found = known.find(row.key);
    // A later cancellation of the same id writes the row anew and so extends its time.
    if (found != known.end() && found->second.version == row.version) tombstone = found->second;
    present.emplace(row.key, tombstone);
    if (now - tombstone.first_read_at >= lifetime_.kept) expired.emplace(row.key, tombstone);
  }
  known_[partition] = std::move(present);
  return expired;
}

boost::asio::awaitable<void> tombstone_sweeper::Sweep(std::string partition) {
  const rows_result rows = co_await store_.ReadRange(kTombstonesTable, partition, "", "", kReplyTimeout);
  // What a sweep does not read or remove is left to the next one.
  if (stopped_ || !rows.status.ok()) co_return;
  const tombstone_map expired = FindExpired(partition, rows);
  auto next = expired.begin();
  while (!stopped_ && next != expired.end()) {
    store_transaction transaction;
    transaction.conditions.push_back({kOwnershipTable, kEpochKey, owner_.epoch_version(), partition});
    for (; next != expired.end() && transaction.changes.size() < kRemovalsPerWrite; ++next) {
      transaction.conditions.push_back({kTombstonesTable, next->first, next->second.version, partition});
      transaction.changes.push_back({kTombstonesTable, next->first, std::nullopt, partition});
    }
    const std::size_t count = transaction.changes.size();
    const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
    if (result.outcome != transaction_outcome::kDone) co_return;
    log_.Write("scheduler", "tombstones removed",
               {{"partition", partition}, {"count", std::to_string(count)}});
  }
}

}  // namespace hickorystall::coordination::pool
