#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "state/pool/worker_entry.h"

namespace hickorystall::coordination::pool {

/// Result of an order to a worker.
enum class order_outcome {
  /// Executed.
  kDone,
  /// Refused because a later owner has sent orders. Nothing was done.
  kFenced,
  /// Refused for another reason that is not transient. Nothing was done.
  kRefused,
  /// Refused by an unhealthy worker. Nothing was done.
  kUnhealthy,
  /// Another incarnation of the worker replied. Nothing was done.
  kIncarnationMismatch,
  /// The order was never sent.
  kNotSent,
  /// No reply: the order may have been executed, or may be executed seconds later.
  kNoReply,
};

/// Name of an outcome in logs.
std::string_view OrderOutcomeName(order_outcome outcome);

/// What a call without a reply shows about the worker's process.
enum class process_sign {
  /// Nothing: the worker may run on, unreachable.
  kNone,
  /// The connection of the waiting call was closed in an orderly way, as the kernel does when a process ends.
  kClosed,
  /// No process listens at the worker's address.
  kRefused,
};

/// Recipient and sender of an order.
struct order_address {
  /// "ip:port" of the worker.
  std::string endpoint;
  /// Id of the worker for which the order is intended. A worker with another id does not execute it.
  std::string worker;
  /// Epoch of the owner. The worker refuses orders with a lower epoch than the highest that it has seen.
  std::int64_t fencing_token = 0;
};

struct order_reply {
  order_outcome outcome = order_outcome::kNoReply;
  /// The worker's clock at the time of the reply; empty when the reply does not contain it.
  std::optional<state::pool::worker_time> clock;
  /// Reason of a refusal.
  std::string reason;
};

struct lists_reply {
  order_outcome outcome = order_outcome::kNoReply;
  state::pool::worker_lists lists;
  /// Why there is no reply; empty with kDone.
  std::string reason;
  /// What the worker's VM shows about its process when there is no reply.
  process_sign sign = process_sign::kNone;
};

/// Interface for sending orders to workers.
class worker_orders {
 public:
  virtual ~worker_orders() = default;
  /// Starts a run. Repeating the same start has no effect.
  virtual boost::asio::awaitable<order_reply> Start(order_address address, std::string task, std::int64_t run,
                                                    std::string payload, std::string checkpoint,
                                                    state::pool::worker_time deadline,
                                                    std::chrono::milliseconds timeout) = 0;
  /// Stops a run, or prevents it from starting.
  virtual boost::asio::awaitable<order_reply> Stop(order_address address, std::string task, std::int64_t run,
                                                   std::chrono::milliseconds timeout) = 0;
  /// Acknowledges ends, extends the lease of all runs to `deadline` if it is set, and reads the lists of
  /// running and ended tasks, waiting up to `wait` for an end. `timeout` counts from the end of the wait.
  virtual boost::asio::awaitable<lists_reply> Renew(order_address address, std::int64_t acknowledged_end,
                                                    std::optional<state::pool::worker_time> deadline,
                                                    std::chrono::milliseconds wait,
                                                    std::chrono::milliseconds timeout) = 0;
  /// Closes the idle connections to `endpoint`, whose worker has left the pool.
  virtual void CloseConnections(const std::string& endpoint) { (void)endpoint; }
};

}  // namespace hickorystall::coordination::pool
