#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>

namespace hickorystall::transport {

/// What a connection is used for.
enum class descriptor_use {
  /// Accepted from a client.
  kIncoming,
  /// Opened to a worker or another VM.
  kOutgoing,
  /// Opened to the store, or accepted from another VM or a readiness check.
  kReserved,
};

/// Descriptors of the connections of one process. Not thread-safe: all users run on one event loop.
///
/// Incoming connections have at most half, so that neither clients nor workers exclude the others. The
/// reserve is used by kReserved only: without the store a VM can do nothing, and without its peers it cannot
/// be replaced.
class descriptor_budget {
 public:
  /// Descriptors that the process itself uses: standard streams, listeners, event loop, signals, log.
  static constexpr int kOwnDescriptors = 24;
  static constexpr int kMinReserve = 64;
  /// Part of all descriptors that is the reserve, if that is more than kMinReserve.
  static constexpr int kReserveDivisor = 16;

  /// `max_descriptors` is the limit of the process.
  explicit descriptor_budget(int max_descriptors);

  /// Takes a descriptor. When there is none, closes idle connections with the function of SetReclaim first.
  /// Returns false when no descriptor is free even then.
  bool TryAcquire(descriptor_use use);
  void Release(descriptor_use use);
  /// `reclaim` closes the connection that has been idle for the longest time, and returns false when there
  /// is none.
  void SetReclaim(std::function<bool()> reclaim) { reclaim_ = std::move(reclaim); }

  /// Number of calls of TryAcquire that returned false, but for those for incoming connections.
  std::uint64_t refused() const { return refused_; }
  int used() const { return incoming_ + other_; }
  int incoming() const { return incoming_; }
  /// Largest number of incoming connections.
  int max_incoming() const { return common_ / 2; }
  /// Number of descriptors for all uses but kReserved.
  int common() const { return common_; }

 private:
  bool IsFree(descriptor_use use) const;

  const int total_;
  const int common_;
  int incoming_ = 0;
  int other_ = 0;
  std::uint64_t refused_ = 0;
  std::function<bool()> reclaim_;
};

}  // namespace hickorystall::transport
