#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "transport/descriptor_budget.h"
#include "transport/memory_budget.h"

namespace hickorystall::transport {

/// Why a client's connection was refused or closed by this side.
enum class limit_reason {
  /// Refused: no descriptor, or the largest number of connections.
  kRefusedConnection,
  /// Closed in favor of a new connection.
  kShedForConnection,
  /// Closed in favor of a request that needs memory.
  kShedForMemory,
  /// The request was refused because no memory could be reserved for it.
  kRefusedMemory,
  /// The request arrived too slowly.
  kTooSlow,
  /// Header section, trailers or chunk extensions larger than the limit.
  kHeadersTooLarge,
  kBodyTooLarge,
  /// The response was not read in time.
  kUnreadResponse,
};
inline constexpr std::size_t kLimitReasons = 8;

/// Name of a reason in logs and metrics.
std::string_view LimitReasonName(limit_reason reason);

/// A connection that can be closed to free its memory and its descriptor.
class sheddable {
 public:
  using clock = std::chrono::steady_clock;
  virtual ~sheddable() = default;
  /// Time for which the connection is expected to occupy its resources, from its progress so far: the least
  /// complete and slowest request has the longest. Nothing while a request is being handled.
  virtual std::optional<clock::duration> ExpectedTime(clock::time_point now) const = 0;
  /// Bytes that closing the connection frees.
  virtual std::size_t held_bytes() const = 0;
  /// True while the connection waits for a request.
  virtual bool is_idle() const = 0;
  /// Closes the connection soon, without waiting for the peer.
  virtual void Shed(limit_reason reason) = 0;
};

/// What the clients of one process may use, and which of their connections are closed when it does not
/// suffice. Not thread-safe: the servers that share it run on one event loop.
class client_limits {
 public:
  client_limits(std::size_t memory_bytes, int max_descriptors)
      : memory(memory_bytes), descriptors(max_descriptors) {}

  memory_budget memory;
  descriptor_budget descriptors;

  void Add(sheddable* connection) { connections_.insert(connection); }
  void Remove(sheddable* connection) { connections_.erase(connection); }
  /// Closes the connections with the longest expected times, until `bytes` and a part of the budget are
  /// freed. Spares `self` and those that are expected to take less time than it. Connections that hold more
  /// than a small request needs are closed first. Returns false when there is none to close.
  bool ShedForMemory(std::size_t bytes, const sheddable& self);
  /// Closes the incoming connection with the longest expected time. Returns false when all are recent.
  bool ShedForConnection();

  void Count(limit_reason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t count(limit_reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  /// Number of refusals and closed connections for all reasons.
  std::uint64_t total_count() const;
  /// Number of connections that are open now.
  std::size_t open_connections() const { return connections_.size(); }
  /// Returns the gauges and counters in the Prometheus text format (version 0.0.4).
  std::string MetricsToText() const;

 private:
  std::unordered_set<sheddable*> connections_;
  std::array<std::uint64_t, kLimitReasons> counts_{};
};

}  // namespace hickorystall::transport
