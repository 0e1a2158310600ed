#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}  // namespace spdlog

namespace hickorystall::coordination::pool {

/// Names and values of the fields of a log record.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/// Structured log to standard output: one record a line, "PART: EVENT name=value ...". Records pass through a
/// bounded queue to a writer thread, so that a blocked reader of the output delays no caller. When the queue
/// is full, the oldest records are dropped and counted.
class event_log {
 public:
  /// `instance` is part of every record.
  explicit event_log(std::string instance);
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /// Writes one record and counts it by `part` and `event`. The output is flushed at most every 100 ms, so a
  /// killed process loses the records of that time.
  void Write(std::string_view part, std::string_view event, const log_fields& fields);
  /// Flushes the records written so far. Must be called from time to time, since Write leaves the last
  /// records of a burst unflushed.
  void Flush();
  /// Number of records dropped since the start.
  std::uint64_t dropped() const;
  /// Returns the number of records by part and event in the Prometheus text format (version 0.0.4).
  std::string CountersToText() const;

 private:
  const std::string instance_;
  // Queue and thread that write the records. The thread ends when the logger is destroyed and all records are
  // written.
  std::shared_ptr<spdlog::details::thread_pool> writer_;
  std::shared_ptr<spdlog::logger> logger_;
  // The members below are accessed only by the thread that calls Write.
  bool has_unflushed_ = false;
  std::chrono::steady_clock::time_point flushed_at_{};
  std::map<std::pair<std::string, std::string>, std::uint64_t> counters_;
};

}  // namespace hickorystall::coordination::pool
