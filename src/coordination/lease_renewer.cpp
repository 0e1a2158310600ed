#include "coordination/lease_renewer.h"

#include <algorithm>

#include "coordination/gang_controller.h"
#include "coordination/gang_controller_fanout.h"
#include "protocol/token_hash.h"
#include "state/text.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;

bool IsResponsible(const std::vector<std::string>& peers, std::string_view self, std::string_view worker) {
  const std::string own_hash = protocol::Sha256Hex(state::StrCat(self, "/", worker));
  const auto higher = std::count_if(peers.begin(), peers.end(), [&](const std::string& peer) {
    return peer != self && protocol::Sha256Hex(state::StrCat(peer, "/", worker)) > own_hash;
  });
  return static_cast<std::size_t>(higher) < kRenewersPerWorker;
}

lease_renewer::lease_renewer(protocol::worker_client& client, protocol::table_client& table,
                             lease_renewer_settings settings, config_source config, peer_source peers)
    : client_(client),
      table_(table),
      settings_(std::move(settings)),
      config_(std::move(config)),
      peers_(std::move(peers)) {}

asio::awaitable<void> lease_renewer::Run(std::function<bool()> stop) {
  // The stop condition is checked more often than leases are renewed.
  constexpr std::chrono::milliseconds kStopCheckInterval{100};
  while (!stop()) {
    const auto next = std::chrono::steady_clock::now() + settings_.interval;
    co_await RenewAll();
    while (!stop() && std::chrono::steady_clock::now() < next) co_await transport::Sleep(kStopCheckInterval);
  }
}

// Returns false when the table cannot be read.
asio::awaitable<bool> lease_renewer::ReadRevoked() {
  const std::string prefix = RevokedLeaseKey(settings_.pool, "");
  const absl::StatusOr<std::vector<protocol::table_row>> rows = co_await table_.Scan(prefix);
  if (!rows.ok()) co_return false;
  revoked_.clear();
  for (const protocol::table_row& row : *rows) revoked_.insert(row.key.substr(prefix.size()));
  co_return true;
}

asio::awaitable<void> lease_renewer::RenewAll() {
  const auto config = config_();
  if (config == nullptr) co_return;
  const std::vector<std::string> live = peers_().live;
  std::vector<std::string> endpoints;
  for (const state::vm_config& vm : config->config.vms) {
    if (vm.kind != state::vm_kind::kWorker) continue;
    if (IsResponsible(live, settings_.instance, vm.name)) endpoints.push_back(vm.address);
  }
  workers_in_share_ = endpoints.size();
  const bool knows_revoked = co_await ReadRevoked();
  if (!knows_revoked && peers_().others_reach_store) {
    ++skipped_rounds_;
    co_return;
  }
  co_await RunForEach<int>(endpoints.size(), [this, &endpoints](std::size_t i) -> asio::awaitable<int> {
    co_await RenewWorker(endpoints[i]);
    co_return 0;
  });
}

asio::awaitable<void> lease_renewer::RenewWorker(std::string endpoint) {
  const absl::StatusOr<protocol::worker_report> report =
      co_await client_.List(endpoint, -1, std::chrono::milliseconds(0), settings_.call_timeout);
  if (!report.ok()) ++failed_calls_;
  if (!report.ok()) co_return;
  std::vector<std::string> leases;
  for (const protocol::worker_task& task : report->tasks) {
    if (protocol::IsLive(task.state) && !revoked_.contains(task.lease)) leases.push_back(task.lease);
  }
  if (leases.empty()) co_return;
  const absl::StatusOr<protocol::lease_renewal> renewal =
      co_await client_.Renew(endpoint, std::move(leases), settings_.lease_term, settings_.call_timeout);
  if (!renewal.ok()) ++failed_calls_;
  if (renewal.ok()) renewed_ += static_cast<std::int64_t>(renewal->renewed.size());
}

nlohmann::json lease_renewer::Dump() const {
  return {{"workers_in_share", workers_in_share_},
          {"renewed", renewed_},
          {"failed_calls", failed_calls_},
          {"skipped_rounds", skipped_rounds_},
          {"revoked", revoked_}};
}

}  // namespace hickorystall::coordination
