#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "state/pool/worker_entry.h"

namespace hickorystall::coordination::pool {

/// How a worker answered an order.
enum class order_outcome {
  /// Carried out.
  kDone,
  /// Refused: a later owner has given orders. Nothing was done.
  kFenced,
  /// Refused for another reason that will not pass by itself. Nothing was done.
  kRefused,
  /// Refused by a worker that is out of order. Nothing was done.
  kUnhealthy,
  /// Another life of the worker answered. Nothing was done.
  kIncarnationMismatch,
  /// The order never left this VM.
  kNotSent,
  /// No answer: it may have been carried out, or may be seconds later.
  kNoAnswer,
};

/// Name of an outcome in logs.
std::string_view OrderOutcomeName(order_outcome outcome);

/// Whom an order is for and who gives it.
struct order_address {
  /// "ip:port" of the worker.
  std::string endpoint;
  /// Id of the life that is meant.
  std::string worker;
  /// Epoch of the owner. The worker refuses orders with a lower one than it has seen.
  std::int64_t fencing_token = 0;
};

struct order_reply {
  order_outcome outcome = order_outcome::kNoAnswer;
  /// The worker's clock when it answered, if it said.
  std::optional<state::pool::worker_time> clock;
  /// Reason of a refusal.
  std::string reason;
};

struct lists_reply {
  order_outcome outcome = order_outcome::kNoAnswer;
  state::pool::worker_lists lists;
};

/// Orders to workers.
class worker_orders {
 public:
  virtual ~worker_orders() = default;
  /// Starts a run. Repeating the same start is harmless.
  virtual boost::asio::awaitable<order_reply> Start(order_address address, std::string task, std::int64_t run,
                                                    std::string payload, std::string checkpoint,
                                                    state::pool::worker_time deadline,
                                                    std::chrono::milliseconds timeout) = 0;
  /// Stops a run, or keeps it from starting.
  virtual boost::asio::awaitable<order_reply> Stop(order_address address, std::string task, std::int64_t run,
                                                   std::chrono::milliseconds timeout) = 0;
  /// Acknowledges ends, extends the lease of all runs to `deadline` if there is one, and reads both lists,
  /// waiting up to `wait` for an end. `timeout` counts from the end of the wait.
  virtual boost::asio::awaitable<lists_reply> Renew(order_address address, std::int64_t acknowledged_end,
                                                    std::optional<state::pool::worker_time> deadline,
                                                    std::chrono::milliseconds wait,
                                                    std::chrono::milliseconds timeout) = 0;
};

}  // namespace hickorystall::coordination::pool
