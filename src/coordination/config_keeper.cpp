#include "coordination/config_keeper.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>

#include "coordination/config_store.h"
#include "protocol/job_codec.h"
#include "state/config/config_parser.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

config_keeper::config_keeper(protocol::table_client& table, object_reader read_object,
                             config_keeper_settings settings)
    : table_(table), read_object_(std::move(read_object)), settings_(settings) {}

config_keeper::config_ptr config_keeper::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::int64_t config_keeper::version() const {
  const std::lock_guard lock(mutex_);
  return current_ == nullptr ? 0 : current_->version;
}

bool config_keeper::Offer(std::int64_t version, std::string text) {
  if (version <= this->version()) return false;
  state::config_parse_result parsed = state::ParseClusterConfig(text);
  if (!parsed.errors.empty()) {
    LOG(ERROR) << "config: version " << version << " is invalid: " << parsed.errors.front().ToString();
    return false;
  }
  auto adopted = std::make_shared<state::versioned_config>();
  adopted->version = version;
  adopted->text = std::move(text);
  adopted->config = std::move(parsed.config);
  std::vector<listener> listeners;
  {
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr && current_->version >= version) return false;
    current_ = adopted;
    listeners = listeners_;
  }
  LOG(INFO) << "config: version " << version << " is in force";
  for (const listener& on_change : listeners) on_change(adopted);
  return true;
}

void config_keeper::RecordPeerContact(clock::time_point now) {
  const std::lock_guard lock(mutex_);
  last_peer_contact_ = std::max(last_peer_contact_, now);
}

void config_keeper::RecordStoreContact(clock::time_point now) {
  const std::lock_guard lock(mutex_);
  last_store_contact_ = std::max(last_store_contact_, now);
}

bool config_keeper::IsReady(clock::time_point now) const {
  const std::lock_guard lock(mutex_);
  const clock::time_point last_contact = std::max(last_store_contact_, last_peer_contact_);
  return current_ != nullptr && now - last_contact <= settings_.contact_limit;
}

bool config_keeper::HasStoreContact(clock::time_point now) const {
  const std::lock_guard lock(mutex_);
  return now - last_store_contact_ <= settings_.contact_limit;
}

void config_keeper::AddListener(listener on_change) {
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(on_change));
}

asio::awaitable<void> config_keeper::PollOnce() {
  const absl::StatusOr<protocol::table_row> head = co_await table_.Read(protocol::ConfigHeadKey());
  if (!head.ok()) co_return;
  RecordStoreContact(clock::now());
  const std::optional<config_head> newest = DecodeConfigHead(head->value);
  if (!newest.has_value() || newest->version <= version()) co_return;
  absl::StatusOr<std::string> body = co_await ReadConfigBody(table_, read_object_, newest->version);
  if (!body.ok()) {
    LOG(WARNING) << "config: version " << newest->version << " cannot be read: " << body.status().message();
    co_return;
  }
  Offer(newest->version, std::move(*body));
}

asio::awaitable<void> config_keeper::Run(std::function<bool()> stop) {
  while (!stop()) {
    co_await PollOnce();
    co_await transport::Sleep(settings_.poll_interval);
  }
}

}  // namespace hickorystall::coordination
