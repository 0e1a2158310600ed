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
  /// Delay before another attempt while the store does not answer.
  std::chrono::milliseconds retry_delay{500};
  /// Time without a sign of an instance after which its row is deleted; longer than the longest partition
  /// that is expected, an hour.
  std::chrono::milliseconds forget_after{std::chrono::hours(2)};
};

/// Writes the row `instance/ID` of this instance and tells the mesh the addresses of the others.
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
  boost::asio::awaitable<void> DeleteSilent(protocol::table_row row, std::string instance, time_point now);

  protocol::table_client& table_;
  peer_mesh& mesh_;
  const instance_directory_settings settings_;
  // When each row was first seen without a live instance behind it.
  std::map<std::string, time_point> silent_since_;
};

}  // namespace hickorystall::coordination
