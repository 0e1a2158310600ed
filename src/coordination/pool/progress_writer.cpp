#include "coordination/pool/progress_writer.h"

#include <algorithm>
#include <map>

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

int progress_writer::CountRefusedJobs() const {
  int count = 0;
  for (const auto& writer : writers_) count += writer->CountRefusedJobs();
  return count;
}

int progress_writer::CountDroppedCheckpoints() const {
  int count = 0;
  for (const auto& writer : writers_) count += writer->CountDroppedCheckpoints();
  return count;
}

void progress_writer::DistributeChanges() {
  const bool urgent = state_.has_urgent_change();
  for (const std::string& job : state_.TakeChangedJobs()) WriterOf(job).Add(job, urgent);
}

boost::asio::awaitable<bool> progress_writer::WaitStored(milliseconds timeout) {
  DistributeChanges();
  std::set<std::string> jobs;
  for (const auto& writer : writers_) jobs.merge(writer->UnstoredJobs());
  const std::set<std::string> unstored = co_await WaitJobsStored(std::move(jobs), timeout);
  co_return unstored.empty();
}

boost::asio::awaitable<std::set<std::string>> progress_writer::WaitJobsStored(std::set<std::string> jobs,
                                                                              milliseconds timeout) {
  struct partition_wait {
    std::set<std::string> jobs;
    std::int64_t change = 0;
  };
  DistributeChanges();
  const state::pool::boot_time limit = BootNow() + timeout;
  std::map<partition_writer*, partition_wait> waits;
  for (const std::string& job : jobs) waits[&WriterOf(job)].jobs.insert(job);
  for (auto& [writer, wait] : waits) wait.change = writer->Expedite(wait.jobs);
  std::set<std::string> unstored;
  for (auto& [writer, wait] : waits)
    unstored.merge(co_await writer->WaitStored(std::move(wait.jobs), wait.change, limit));
  co_return unstored;
}

boost::asio::awaitable<bool> progress_writer::WaitJobStored(std::string job, milliseconds timeout) {
  std::set<std::string> jobs;
  jobs.insert(std::move(job));
  const std::set<std::string> unstored = co_await WaitJobsStored(std::move(jobs), timeout);
  co_return unstored.empty();
}

}  // namespace hickorystall::coordination::pool
