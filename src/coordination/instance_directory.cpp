#include "coordination/instance_directory.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "protocol/job_codec.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;

namespace {

// Interval at which Run checks whether it must stop.
constexpr std::chrono::milliseconds kStopCheckInterval{100};

std::string EncodeRow(const peer_info& own) {
  return json{{"instance", own.instance},
              {"role", own.role},
              {"vm", own.vm},
              {"endpoint", own.endpoint},
              {"incarnation", own.incarnation}}
      .dump();
}

}  // namespace

instance_directory::instance_directory(protocol::table_client& table, peer_mesh& mesh,
                                       instance_directory_settings settings)
    : table_(table), mesh_(mesh), settings_(settings) {}

asio::awaitable<void> instance_directory::Run(std::function<bool()> stop) {
  while (!stop()) {
    const bool complete = co_await Scan();
    const clock::time_point next =
        clock::now() + (complete ? settings_.scan_interval : settings_.retry_delay);
    while (!stop() && clock::now() < next) co_await transport::Sleep(kStopCheckInterval);
  }
  co_await DeleteOwnRow();
}

asio::awaitable<bool> instance_directory::Scan() {
  const absl::StatusOr<std::vector<protocol::table_row>> rows =
      co_await table_.Scan(protocol::InstancePrefix());
  if (!rows.ok()) co_return false;
  const peer_info own = mesh_.self();
  const clock::time_point now = clock::now();
  std::set<std::string> endpoints;
  const protocol::table_row* own_row = nullptr;
  for (const protocol::table_row& row : *rows) {
    if (row.key == protocol::InstanceKey(own.instance)) {
      own_row = &row;
      continue;
    }
    const json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) continue;
    const std::string endpoint = value.value("endpoint", "");
    if (!endpoint.empty()) endpoints.insert(endpoint);
    co_await DeleteIfExpired(row, value.value("instance", ""), now);
  }
  mesh_.SetListedEndpoints(std::move(endpoints));
  if (own_row != nullptr && own_row->value == EncodeRow(own)) co_return true;
  co_return (co_await WriteOwnRow(own_row == nullptr ? 0 : own_row->version)).ok();
}

asio::awaitable<absl::Status> instance_directory::WriteOwnRow(std::int64_t row_version) {
  const peer_info own = mesh_.self();
  const std::string key = protocol::InstanceKey(own.instance);
  protocol::table_transaction transaction;
  transaction.conditions = {{key, row_version}};
  transaction.puts = {{key, EncodeRow(own)}};
  // A lost reply needs no special handling: the next scan reads the row and writes it again when it differs.
  const absl::StatusOr<std::int64_t> written = co_await table_.Transact(std::move(transaction));
  if (!written.ok()) LOG(WARNING) << "peer: own row not confirmed: " << written.status().message();
  co_return written.status();
}

asio::awaitable<void> instance_directory::DeleteOwnRow() {
  const peer_info own = mesh_.self();
  const std::string key = protocol::InstanceKey(own.instance);
  const absl::StatusOr<protocol::table_row> row = co_await table_.Read(key);
  // A later incarnation with the same name may have written the row by now.
  if (!row.ok() || row->version == 0 || row->value != EncodeRow(own)) co_return;
  co_await DeleteRow(*row);
}

asio::awaitable<void> instance_directory::DeleteRow(const protocol::table_row& row) {
  protocol::table_transaction transaction;
  transaction.conditions = {{row.key, row.version}};
  transaction.deletes = {row.key};
  const absl::StatusOr<std::int64_t> deleted = co_await table_.Transact(std::move(transaction));
  // A remaining row costs its readers only a connection attempt, so the delete is not repeated.
  LOG_IF(WARNING, !deleted.ok()) << "peer: row " << row.key << " not deleted: " << deleted.status().message();
}

asio::awaitable<void> instance_directory::DeleteIfExpired(protocol::table_row row, std::string instance,
                                                          time_point now) {
  const std::vector<peer_info> live = mesh_.LivePeers("");
  const bool is_live =
      std::any_of(live.begin(), live.end(), [&](const peer_info& peer) { return peer.instance == instance; });
  // Without any live peer this instance is more likely to be cut off itself.
  if (is_live || live.size() < 2) {
    unreachable_since_.erase(row.key);
    co_return;
  }
  const time_point since = unreachable_since_.emplace(row.key, now).first->second;
  if (now - since < settings_.expire_after) co_return;
  unreachable_since_.erase(row.key);
  LOG(INFO) << "peer: deleting the row of instance " << instance << ", which is no longer live";
  co_await DeleteRow(row);
}

}  // namespace hickorystall::coordination
