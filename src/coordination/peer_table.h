#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hickorystall::coordination {

/// Identity and last known state of a process.
struct peer_info {
  /// Unique name of the instance.
  std::string instance;
  /// "gateway", "scheduler" or "admin".
  std::string role;
  /// Name of the VM that it runs on.
  std::string vm;
  /// "ip:port" where it receives peer messages.
  std::string endpoint;
  /// Number chosen at random at each start.
  std::uint64_t incarnation = 0;
  /// Configuration version in force; 0 means none.
  std::int64_t config_version = 0;
  /// Whether it accepts work.
  bool ready = false;
  /// Whether it is stopping.
  bool leaving = false;
  /// Whether the platform's table replied to it recently.
  bool store_reachable = false;
  /// When its last message arrived.
  std::chrono::steady_clock::time_point last_contact;
};

/// The peers known to an instance: which addresses to contact and which peers sent a message recently. Reads
/// no clock and has no lock of its own.
class peer_table {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// A peer counts as dead after `dead_after` without a message. `own_endpoint` is never contacted.
  peer_table(std::string own_endpoint, std::vector<std::string> seeds, std::chrono::milliseconds dead_after);

  /// Replaces the addresses read from the table.
  void SetListedEndpoints(std::set<std::string> endpoints);
  /// Records a message from `peer` at `now`. A peer with the same address and another name is removed.
  /// Returns true when the peer is new, has restarted or was dead before.
  bool RecordContact(peer_info peer, time_point now);
  /// Returns the live peers, by name, that are not leaving. An empty `role` stands for every role.
  std::vector<peer_info> Live(const std::string& role, time_point now) const;
  /// Returns every known peer, live or not, by name.
  std::vector<peer_info> All() const;
  /// Returns the addresses to contact: seeds, listed ones and those of live peers.
  std::set<std::string> Endpoints(time_point now) const;

 private:
  bool IsLive(const peer_info& peer, time_point now) const { return now - peer.last_contact <= dead_after_; }

  const std::string own_endpoint_;
  const std::vector<std::string> seeds_;
  const std::chrono::milliseconds dead_after_;
  std::set<std::string> listed_;
  std::map<std::string, peer_info> peers_;
};

}  // namespace hickorystall::coordination
