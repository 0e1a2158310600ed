#include "coordination/config_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/job_codec.h"
#include "protocol/token_hash.h"
#include "state/text.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

asio::awaitable<absl::StatusOr<config_entry>> FindSameOperation(protocol::table_client& table,
                                                                config_entry wanted) {
  absl::StatusOr<config_entry> found = co_await ReadConfigEntry(table, wanted.base + 1);
  if (found.ok() && !wanted.operation.empty() && found->operation == wanted.operation) co_return found;
  if (!found.ok() && !absl::IsNotFound(found.status())) co_return found.status();
  co_return absl::AbortedError(state::StrCat("the configuration has changed since version ", wanted.base,
                                             "; read the newest version and repeat the change on it"));
}

protocol::table_transaction MakeTransaction(const config_entry& entry, std::int64_t head_row_version) {
  protocol::table_transaction transaction;
  transaction.conditions = {{protocol::ConfigHeadKey(), head_row_version},
                            {protocol::ConfigVersionKey(entry.version), 0}};
  transaction.puts = {
      {protocol::ConfigHeadKey(), json{{"version", entry.version}, {"writer", entry.writer}}.dump()},
      {protocol::ConfigVersionKey(entry.version), EncodeConfigEntry(entry)}};
  return transaction;
}

}  // namespace

std::optional<config_head> DecodeConfigHead(std::string_view value) {
  if (value.empty()) return config_head{};
  const json document = json::parse(value, nullptr, false);
  if (!document.is_object() || !document.contains("version")) return std::nullopt;
  const json& version = document["version"];
  if (!version.is_number_integer()) return std::nullopt;
  return config_head{version.get<std::int64_t>()};
}

std::string EncodeConfigEntry(const config_entry& entry) {
  json value = {{"version", entry.version},
                {"base", entry.base},
                {"operator", entry.operator_name},
                {"instance", entry.instance},
                {"accepted_at_ms", entry.accepted_at_ms},
                {"operation", entry.operation},
                {"writer", entry.writer},
                {"digest", entry.digest},
                {"bytes", entry.bytes}};
  if (entry.object.empty()) {
    value["body"] = entry.body;
  } else {
    value["object"] = entry.object;
  }
  return value.dump();
}

absl::StatusOr<config_entry> DecodeConfigEntry(std::string_view value) {
  const json document = json::parse(value, nullptr, false);
  if (!document.is_object()) return absl::DataLossError("row is not a configuration version");
  config_entry entry;
  try {
    entry.version = document.at("version");
    entry.base = document.value("base", std::int64_t{0});
    entry.operator_name = document.value("operator", "");
    entry.instance = document.value("instance", "");
    entry.accepted_at_ms = document.value("accepted_at_ms", std::int64_t{0});
    entry.operation = document.value("operation", "");
    entry.writer = document.value("writer", "");
    entry.digest = document.value("digest", "");
    entry.bytes = document.value("bytes", std::int64_t{0});
    entry.body = document.value("body", "");
    entry.object = document.value("object", "");
  } catch (const json::exception& error) {
    return absl::DataLossError(state::StrCat("configuration version: ", error.what()));
  }
  return entry;
}

asio::awaitable<absl::StatusOr<config_entry>> ReadConfigEntry(protocol::table_client& table,
                                                              std::int64_t version) {
  const absl::StatusOr<protocol::table_row> row = co_await table.Read(protocol::ConfigVersionKey(version));
  if (!row.ok()) co_return row.status();
  if (row->version == 0) co_return absl::NotFoundError(state::StrCat("there is no version ", version));
  co_return DecodeConfigEntry(row->value);
}

asio::awaitable<absl::StatusOr<std::string>> ReadConfigBody(protocol::table_client& table,
                                                            const object_reader& read_object,
                                                            std::int64_t version) {
  absl::StatusOr<config_entry> entry = co_await ReadConfigEntry(table, version);
  if (!entry.ok()) co_return entry.status();
  std::string body = std::move(entry->body);
  if (!entry->object.empty()) {
    absl::StatusOr<std::string> object = co_await read_object(entry->object);
    if (!object.ok()) co_return object.status();
    body = std::move(*object);
  }
  if (!entry->digest.empty() && protocol::Sha256Hex(body) != entry->digest) {
    co_return absl::DataLossError(state::StrCat("the document of version ", version, " has a wrong digest"));
  }
  co_return body;
}

asio::awaitable<absl::StatusOr<std::vector<config_entry>>> ReadConfigHistory(protocol::table_client& table,
                                                                             int limit) {
  const absl::StatusOr<protocol::table_row> row = co_await table.Read(protocol::ConfigHeadKey());
  if (!row.ok()) co_return row.status();
  const std::optional<config_head> head = DecodeConfigHead(row->value);
  if (!head.has_value()) co_return absl::DataLossError("the head row is not valid");
  std::vector<config_entry> entries;
  for (std::int64_t version = head->version; version > 0 && limit > 0; --version, --limit) {
    absl::StatusOr<config_entry> entry = co_await ReadConfigEntry(table, version);
    if (!entry.ok()) co_return entry.status();
    entries.push_back(std::move(*entry));
  }
  co_return entries;
}

asio::awaitable<absl::StatusOr<config_entry>> AcceptConfig(protocol::table_client& table,
                                                           const object_writer& write_object,
                                                           config_entry entry,
                                                           std::chrono::milliseconds timeout) {
  entry.version = entry.base + 1;
  entry.writer = protocol::RandomId();
  entry.digest = protocol::Sha256Hex(entry.body);
  entry.bytes = static_cast<std::int64_t>(entry.body.size());
  const absl::StatusOr<protocol::table_row> row = co_await table.Read(protocol::ConfigHeadKey());
  if (!row.ok()) co_return row.status();
  const std::optional<config_head> head = DecodeConfigHead(row->value);
  if (!head.has_value()) co_return absl::DataLossError("the head row is not valid");
  if (head->version != entry.base) co_return co_await FindSameOperation(table, entry);
  if (entry.body.size() > kMaxInlineBodyBytes) {
    // Named by its content, so that a repeated write is harmless. A request that loses the race leaves an
    // unused object.
    entry.object = state::StrCat("config-", entry.digest);
    const absl::Status written = co_await write_object(entry.object, entry.body);
    if (!written.ok()) co_return absl::UnavailableError(written.message());
  }
  // The version row is the marker: unlike the head row, it does not change with later versions.
  const absl::Status accepted =
      co_await protocol::TransactAndConfirm(table, MakeTransaction(entry, row->version),
                                            protocol::ConfigVersionKey(entry.version), entry.writer, timeout);
  if (absl::IsAborted(accepted)) co_return co_await FindSameOperation(table, entry);
  if (!accepted.ok()) co_return accepted;
  co_return entry;
}

}  // namespace hickorystall::coordination
