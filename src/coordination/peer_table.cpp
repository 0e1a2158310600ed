#include "coordination/peer_table.h"

#include <algorithm>
#include <utility>

namespace hickorystall::coordination {

peer_table::peer_table(std::string own_endpoint, std::vector<std::string> seeds,
                       std::chrono::milliseconds dead_after)
    : own_endpoint_(std::move(own_endpoint)), seeds_(std::move(seeds)), dead_after_(dead_after) {}

void peer_table::SetListedEndpoints(std::set<std::string> endpoints) { listed_ = std::move(endpoints); }

bool peer_table::RecordContact(peer_info peer, time_point now) {
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.endpoint == peer.endpoint && entry.first != peer.instance;
  });
  peer.last_contact = now;
  const auto found = peers_.find(peer.instance);
  const bool is_new =
      found == peers_.end() || found->second.incarnation != peer.incarnation || !IsLive(found->second, now);
  peers_.insert_or_assign(peer.instance, std::move(peer));
  return is_new;
}

std::vector<peer_info> peer_table::Live(const std::string& role, time_point now) const {
  std::vector<peer_info> live;
  for (const auto& [instance, peer] : peers_) {
    const bool matches = role.empty() || peer.role == role;
    if (matches && !peer.leaving && IsLive(peer, now)) live.push_back(peer);
  }
  return live;
}

std::vector<peer_info> peer_table::All() const {
  std::vector<peer_info> all;
  all.reserve(peers_.size());
  for (const auto& [instance, peer] : peers_) all.push_back(peer);
  return all;
}

std::set<std::string> peer_table::Endpoints(time_point now) const {
  std::set<std::string> endpoints(seeds_.begin(), seeds_.end());
  endpoints.insert(listed_.begin(), listed_.end());
  for (const auto& [instance, peer] : peers_) {
    if (IsLive(peer, now)) endpoints.insert(peer.endpoint);
  }
  endpoints.erase(own_endpoint_);
  return endpoints;
}

}  // namespace hickorystall::coordination
