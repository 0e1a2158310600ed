#pragma once

#include <cstddef>

namespace hickorystall::transport {

/// Memory that the clients of one process may hold, counted by the capacity of their buffers. It is reserved
/// before the bytes are read. Not thread-safe: all users run on one event loop.
class memory_budget {
 public:
  /// A holder with at most this many bytes may use all of the budget. It suffices for a connection and an
  /// ordinary request, so that large requests do not exclude these. A small chunked body with 10 header
  /// fields reserves 50,160 bytes: 4 x (4,096 of buffer + 4,096 of body + 2,300 of fields) + 8,192 of the
  /// connection.
  static constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;

  explicit memory_budget(std::size_t limit) : limit_(limit) {}

  /// Changes what a holder has reserved from `held` to `wanted`. Returns false, and changes nothing, when
  /// that exceeds the limit, or when it leaves less than a quarter of the budget and `wanted` is not small.
  bool TryChange(std::size_t held, std::size_t wanted);
  /// The same without a limit, for memory that exists already.
  void Change(std::size_t held, std::size_t wanted) { used_ = used_ - held + wanted; }

  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }

 private:
  const std::size_t limit_;
  std::size_t used_ = 0;
};

/// The part of a budget that one holder has reserved. The destructor returns it.
class memory_charge {
 public:
  /// Reserves nothing and never refuses if `budget` is null. The budget must outlive the charge.
  explicit memory_charge(memory_budget* budget) : budget_(budget) {}
  ~memory_charge() { Set(0); }
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;

  /// Reserves `bytes` in all. Returns false, and keeps what is reserved, when the budget refuses.
  bool TrySet(std::size_t bytes);
  /// Counts `bytes` in all, also beyond the limit.
  void Set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  memory_budget* const budget_;
  std::size_t bytes_ = 0;
};

}  // namespace hickorystall::transport
