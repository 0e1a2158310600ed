#include "soak/faulty_store.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "transport/async_event.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

asio::awaitable<void> faulty_store::ApplyLate(store_transaction transaction, milliseconds delay) {
  co_await transport::Sleep(delay);
  store_.ApplyNow(transaction);
}

bool faulty_store::IsRefused(const store_transaction& transaction) const {
  return std::any_of(transaction.changes.begin(), transaction.changes.end(),
                     [this](const row_change& change) {
                       return refused_partition == change.partition || refused_table == change.table;
                     });
}

asio::awaitable<transaction_result> faulty_store::Apply(store_transaction transaction, milliseconds timeout) {
  transaction_result result;
  if (is_disconnected) {
    co_await transport::Sleep(milliseconds(20));
    result.outcome = transaction_outcome::kNotDone;
    co_return result;
  }
  co_await transport::Sleep(delay);
  if (IsRefused(transaction)) {
    result.outcome = transaction_outcome::kNotDone;
    co_return result;
  }
  if (std::bernoulli_distribution(late_share)(random_)) {
    const auto delay = milliseconds(std::uniform_int_distribution<int>(50, 2000)(random_));
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, ApplyLate(std::move(transaction), delay), asio::detached);
    co_await transport::Sleep(milliseconds(50));
    co_return result;
  }
  const bool is_lost = std::bernoulli_distribution(lost_share)(random_);
  transaction_result applied = co_await store_.Apply(std::move(transaction), timeout);
  if (is_lost) co_return result;
  co_return applied;
}

asio::awaitable<rows_result> faulty_store::ReadRange(std::string table, std::string partition,
                                                     std::string from, std::string to, milliseconds timeout) {
  rows_result result;
  result.status = absl::UnavailableError("cut off");
  if (is_disconnected) {
    co_await transport::Sleep(milliseconds(20));
    co_return result;
  }
  co_await transport::Sleep(delay);
  co_return co_await store_.ReadRange(table, partition, from, to, timeout);
}

asio::awaitable<rows_result> faulty_store::Follow(std::string table, std::int64_t version, milliseconds wait,
                                                  milliseconds timeout) {
  rows_result result;
  result.status = absl::UnavailableError("cut off");
  if (is_disconnected) {
    co_await transport::Sleep(milliseconds(20));
    co_return result;
  }
  co_await transport::Sleep(delay);
  // Waits in short intervals, so that a disconnection ends the wait.
  const auto end = std::chrono::steady_clock::now() + wait;
  while (true) {
    rows_result part = co_await store_.Follow(table, version, milliseconds(20), timeout);
    if (is_disconnected) co_return result;
    const bool is_over = !part.rows.empty() || !part.status.ok() || std::chrono::steady_clock::now() >= end;
    if (is_over) co_return part;
    version = part.version;
  }
}

}  // namespace hickorystall::tests
