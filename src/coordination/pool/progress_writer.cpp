#include "coordination/pool/progress_writer.h"

#include <algorithm>

#include "coordination/pool/pool_tables.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

progress_writer::progress_writer(pool_store& store, event_log& log, ownership& owner,
                                 state::pool::pool_state& state, const boost::asio::any_io_executor& executor)
    : state_(state) {
  for (const std::string_view partition : kJobPartitions) {
    writers_.push_back(
        std::make_unique<partition_writer>(std::string(partition), store, log, owner, state, executor));
  }
}

partition_writer& progress_writer::WriterOf(const std::string& job) {
  const auto found = std::find(kJobPartitions.begin(), kJobPartitions.end(), JobPartition(job));
  return *writers_[static_cast<std::size_t>(found - kJobPartitions.begin())];
}

void progress_writer::Start(const std::function<void(boost::asio::awaitable<void>)>& spawn) {
  for (const auto& writer : writers_) spawn(writer->Run());
}

void progress_writer::Stop() {
  for (const auto& writer : writers_) writer->Stop();
}

bool progress_writer::is_storing() const {
  return std::any_of(writers_.begin(), writers_.end(),
                     [](const auto& writer) { return writer->is_storing(); });
}

void progress_writer::DistributeChanges() {
  const bool urgent = state_.has_urgent_change();
  for (const std::string& job : state_.TakeChangedJobs()) WriterOf(job).Add(job, urgent);
}

boost::asio::awaitable<bool> progress_writer::WaitStored(milliseconds timeout) {
  DistributeChanges();
  const state::pool::boot_time limit = BootNow() + timeout;
  for (const auto& writer : writers_) {
    const bool stored = co_await writer->WaitStored(limit);
    if (!stored) co_return false;
  }
  co_return true;
}

boost::asio::awaitable<bool> progress_writer::WaitJobStored(std::string job, milliseconds timeout) {
  DistributeChanges();
  co_return co_await WriterOf(job).WaitStored(BootNow() + timeout);
}

}  // namespace hickorystall::coordination::pool
