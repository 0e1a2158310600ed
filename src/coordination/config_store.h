#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// Reads an object of the platform's object store.
using object_reader = std::function<boost::asio::awaitable<absl::StatusOr<std::string>>(std::string name)>;
/// Writes an object of the platform's object store.
using object_writer = std::function<boost::asio::awaitable<absl::Status>(std::string name, std::string body)>;

/// Largest document that is kept in the version row itself, in bytes. A larger one goes to the object store,
/// because the table is meant for small rows.
constexpr std::size_t kMaxInlineBodyBytes = std::size_t{32} * 1024;

/// Value of the row `config/head`.
struct config_head {
  /// Newest accepted version; 0 before the first.
  std::int64_t version = 0;
};

/// Value of a row `config/version/N`: one accepted change, never altered.
struct config_entry {
  /// Version, from 1.
  std::int64_t version = 0;
  /// Version that the change is based on.
  std::int64_t base = 0;
  /// Name of the operator, as stated in the request.
  std::string operator_name;
  /// Instance that accepted the change.
  std::string instance;
  /// When it was accepted, in milliseconds since the epoch, by the clock of that instance.
  std::int64_t accepted_at_ms = 0;
  /// Identifies the operator's request, so that a repeated request is recognized.
  std::string operation;
  /// Identifies the write, so that its effect can be confirmed after a lost reply.
  std::string writer;
  /// SHA-256 of the document; empty in a row that was not written by an admin instance.
  std::string digest;
  /// Size of the document in bytes.
  std::int64_t bytes = 0;
  /// The document; empty when it is in the object store.
  std::string body;
  /// Name of the object with the document; empty when it is in the row.
  std::string object;
};

/// Parses the value of the head row; an empty one stands for version 0. Returns nullopt when it is not valid.
std::optional<config_head> DecodeConfigHead(std::string_view value);
/// Returns the row value of `entry`.
std::string EncodeConfigEntry(const config_entry& entry);
/// Parses a row value. Returns kDataLoss when it is not an entry.
absl::StatusOr<config_entry> DecodeConfigEntry(std::string_view value);

/// Reads the entry of `version`. Returns kNotFound when there is none.
boost::asio::awaitable<absl::StatusOr<config_entry>> ReadConfigEntry(protocol::table_client& table,
                                                                     std::int64_t version);
/// Reads the document of `version` and verifies its digest. Returns kNotFound, kUnavailable or kDataLoss.
boost::asio::awaitable<absl::StatusOr<std::string>> ReadConfigBody(protocol::table_client& table,
                                                                   const object_reader& read_object,
                                                                   std::int64_t version);
/// Reads up to `limit` entries, newest first.
boost::asio::awaitable<absl::StatusOr<std::vector<config_entry>>> ReadConfigHistory(
    protocol::table_client& table, int limit);

/// Accepts the document `entry.body` as the version after `entry.base` in one transaction on the head row.
/// Fills in version, writer, digest, bytes and object. Returns the accepted entry, also when an earlier
/// request with the same `operation` was accepted; kAborted when another change came first, with a message
/// that names `entry.base`; kUnknown when the outcome could not be confirmed before `timeout`; kUnavailable
/// when nothing was written.
boost::asio::awaitable<absl::StatusOr<config_entry>> AcceptConfig(protocol::table_client& table,
                                                                  const object_writer& write_object,
                                                                  config_entry entry,
                                                                  std::chrono::milliseconds timeout);

}  // namespace hickorystall::coordination
