#include "soak/soak_vm.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using transport::BootNow;

namespace {

absl::StatusOr<worker_registration> DecodeRegistration(const stored_row& row) {
  const auto value = nlohmann::json::parse(row.value, nullptr, false);
  if (!value.is_object()) return absl::DataLossError("no object");
  worker_registration registration;
  registration.id = row.key;
  registration.address = value.value("address", "");
  registration.service = "s";
  registration.capacity = {8000, 8192, 8};
  registration.rack = value.value("rack", "");
  registration.labels = {registration.rack};
  registration.incarnation = value.value("born", std::int64_t{1});
  registration.clock = worker_time(BootNow().time_since_epoch());
  return registration;
}

absl::StatusOr<pool_config> DecodeConfig(std::string_view) {
  pool_config config;
  config.version = 1;
  queue_rules queue;
  queue.name = "q";
  queue.service = "s";
  queue.priority = 1;
  queue.max_attempts = 4;
  queue.stretch = 3.0;
  config.queues.push_back(queue);
  config.workspaces.push_back({"w", {"key"}, 0});
  return config;
}

ownership_settings WithName(ownership_settings settings, const std::string& name) {
  settings.instance = name;
  settings.address = name + ":1";
  return settings;
}

}  // namespace

std::string EncodeRegistration(const std::string& address, std::int64_t incarnation,
                               const std::string& rack) {
  return nlohmann::json{{"address", address}, {"born", incarnation}, {"rack", rack}}.dump();
}

soak_vm::soak_vm(const std::string& name, ownership_settings ownership, pool_settings pool, pool_store& store,
                 worker_orders& workers, asio::io_context& loop)
    : log_(ownership.incarnation),
      config_(store, log_, {kConfigTable, "config", DecodeConfig}),
      ownership_(store, log_, WithName(std::move(ownership), name)) {
  ownership_.SetListener([this, pool, &store, &workers, &loop](bool is_owner) {
    if (owner_ != nullptr) owner_->Stop();
    owner_.reset();
    if (!is_owner) return;
    pool_owner_parts parts{
        &store, &workers, &ownership_, &config_, &log_, &wall_clock_, {kRegistryTable, DecodeRegistration}};
    owner_ = std::make_shared<pool_owner>(std::move(parts), pool, ownership_.epoch(), loop.get_executor());
    owner_->Start();
  });
  wall_clock_.Sample(BootNow(), transport::WallNow());
  asio::co_spawn(loop, config_.Run(), asio::detached);
  asio::co_spawn(loop, ownership_.Run(), asio::detached);
}

void soak_vm::Kill() {
  if (owner_ != nullptr) owner_->Stop();
  owner_.reset();
  ownership_.SetListener(nullptr);
  ownership_.Lose("killed");
  ownership_.Stop();
  config_.Stop();
}

void soak_vm::Leave() {
  ownership_.Stop();
  config_.Stop();
}

}  // namespace hickorystall::tests
