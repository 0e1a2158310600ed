#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// In-memory table whose failures a test controls.
class fake_table final : public protocol::table_client {
 public:
  boost::asio::awaitable<absl::StatusOr<std::int64_t>> Transact(
      protocol::table_transaction transaction) override {
    if (before_transact) std::exchange(before_transact, nullptr)();
    if (down) co_return absl::UnavailableError("down");
    for (const protocol::table_condition& condition : transaction.conditions) {
      if (rows[condition.key].version != condition.version) co_return absl::AbortedError("conflict");
    }
    ++commits;
    for (const protocol::table_put& put : transaction.puts) rows[put.key] = {put.key, put.value, commits};
    for (const std::string& key : transaction.deletes) rows.erase(key);
    if (std::exchange(lose_next_reply, false)) co_return absl::UnknownError("reply lost");
    co_return commits;
  }
  boost::asio::awaitable<absl::StatusOr<protocol::table_row>> Read(std::string key) override {
    if (down) co_return absl::UnavailableError("down");
    const auto found = rows.find(key);
    co_return found == rows.end() ? protocol::table_row{key, "", 0} : found->second;
  }
  boost::asio::awaitable<absl::StatusOr<std::vector<protocol::table_row>>> Scan(std::string prefix) override {
    if (down) co_return absl::UnavailableError("down");
    std::vector<protocol::table_row> result;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix) && row.version > 0) result.push_back(row);
    }
    co_return result;
  }

  /// Rows by key; one with version 0 stands for an absent row.
  std::map<std::string, protocol::table_row> rows;
  /// Number of transactions applied; also the version of the rows that the last one wrote.
  std::int64_t commits = 0;
  /// While true, every call returns kUnavailable.
  bool down = false;
  /// When true, the next applied transaction returns kUnknown, as if its reply were lost.
  bool lose_next_reply = false;
  /// Runs once, just before the next transaction.
  std::function<void()> before_transact;
};

}  // namespace hickorystall::coordination
