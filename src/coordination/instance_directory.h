#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "coordination/peer_mesh.h"
#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// Settings of the instance directory.
struct instance_directory_settings {
  /// Interval at which the rows of the other instances are read.
  std::chrono::milliseconds scan_interval{5000};
  /// Delay before another attempt while the store is unreachable.
  std::chrono::milliseconds retry_delay{500};
  /// Time for which an instance must not have been live before its row is deleted. It exceeds the longest
  /// expected partition, one hour.
  std::chrono::milliseconds expire_after{std::chrono::hours(2)};
};

/// Writes the row `instance/NAME` of this instance and passes the addresses of the others to the mesh.
class instance_directory {
 public:
  /// `table` and `mesh` must outlive the directory.
  instance_directory(protocol::table_client& table, peer_mesh& mesh, instance_directory_settings settings);

  /// Writes the own row and reads the others until `stop` returns true, then deletes the own row.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);

 private:
  using time_point = std::chrono::steady_clock::time_point;

  boost::asio::awaitable<bool> Scan();
  boost::asio::awaitable<absl::Status> WriteOwnRow(std::int64_t row_version);
  boost::asio::awaitable<void> DeleteOwnRow();
  boost::asio::awaitable<void> DeleteRow(const protocol::table_row& row);
  boost::asio::awaitable<void> DeleteIfExpired(protocol::table_row row, std::string instance, time_point now);

  protocol::table_client& table_;
  peer_mesh& mesh_;
  const instance_directory_settings settings_;
  // When each row was first seen while its instance was not live, by row key.
  std::map<std::string, time_point> unreachable_since_;
};

}  // namespace hickorystall::coordination
