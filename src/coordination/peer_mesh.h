#pragma once

#include <absl/status/status.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/config_keeper.h"
#include "coordination/peer_table.h"
#include "state/ranked_mutex.h"
#include "transport/peer_socket.h"

namespace hickorystall::protocol::wire {
class peer_message;
}

namespace hickorystall::coordination {

/// Settings of the peer mesh.
struct peer_mesh_settings {
  /// Unique name of this instance.
  std::string instance;
  /// "gateway", "scheduler" or "admin".
  std::string role;
  /// Name of the VM.
  std::string vm;
  /// "ip:port" on which peer messages are received.
  std::string listen;
  /// "ip:port" at which peers reach this instance; empty for the address in `listen`.
  std::string advertise;
  /// "ip:port" of peers to contact first.
  std::vector<std::string> seeds;
  /// Interval between heartbeats.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// Time without a message after which a peer counts as dead.
  std::chrono::milliseconds dead_after{6000};
};

/// Counters of the mesh since start.
struct peer_mesh_counters {
  std::int64_t messages_sent = 0;
  /// Bytes of the messages sent, without the framing of ZMTP and TCP.
  std::int64_t bytes_sent = 0;
  std::int64_t messages_received = 0;
};

/// Exchanges messages among the processes of the system (docs/design.md, section 4.7): heartbeats, accepted
/// configurations and job wakeups. Thread-safe.
class peer_mesh {
 public:
  /// Receives the pool of a job wakeup; runs on the socket's thread and must not block.
  using job_wakeup_listener = std::function<void(const std::string& pool)>;

  /// `config` must outlive the mesh.
  peer_mesh(config_keeper& config, peer_mesh_settings settings);
  ~peer_mesh();
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  /// Binds the socket and queries the seeds for the newest configuration. Returns kUnavailable when the
  /// address is in use.
  absl::Status Start();
  /// Announces to the peers that this instance is leaving: it no longer counts as live, but still sends and
  /// receives.
  void AnnounceLeaving();
  /// Closes the socket.
  void Stop();
  /// Sends heartbeats until `stop` returns true.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);

  /// Sets the function that provides the `ready` flag of heartbeats. Call it before Start.
  void SetReadiness(std::function<bool()> is_ready) { is_ready_ = std::move(is_ready); }
  /// Calls `on_wakeup` for each job wakeup received. Call it before Start.
  void AddJobWakeupListener(job_wakeup_listener on_wakeup) {
    wakeup_listeners_.push_back(std::move(on_wakeup));
  }

  /// Notifies every live scheduler that the inbox of `pool` has a new row. Best effort: if the message is
  /// lost, the scheduler finds the row by its own poll.
  void SendJobWakeup(const std::string& pool);
  /// Sends an accepted configuration to every live peer. An unreachable peer finds it by polling the table,
  /// or by a heartbeat that names a higher version than its own.
  void PushConfig(std::int64_t version, const std::string& body);
  /// Sets the addresses that were read from the table; peers at them are contacted from now on.
  void SetListedEndpoints(std::set<std::string> endpoints);

  /// Live instances of `role` by name, this instance included when it has the role. An empty role stands for
  /// all. A peer is live for 6 s after its last message (`dead_after`) unless it announced that it is
  /// leaving.
  std::vector<peer_info> LivePeers(const std::string& role) const;
  /// Every other known instance, live or not, by name.
  std::vector<peer_info> AllPeers() const;
  /// Identity and state of this instance.
  peer_info self() const;
  /// Counters since start.
  peer_mesh_counters counters() const;

 private:
  using message_ptr = std::unique_ptr<protocol::wire::peer_message>;

  void Receive(const std::string& bytes);
  void HandlePush(std::int64_t version, const std::string& body, const std::string& digest,
                  const std::string& sender_endpoint);
  void HandleQuery(std::int64_t known_version, const std::string& endpoint);
  message_ptr NewMessage() const;
  void SendTo(const std::string& endpoint, const protocol::wire::peer_message& message);
  void SendHeartbeat(const std::string& endpoint);
  void SendHeartbeats();
  void SendQuery(const std::string& endpoint);
  std::set<std::string> Endpoints() const;

  config_keeper& config_;
  const peer_mesh_settings settings_;
  const std::uint64_t incarnation_;
  std::string own_endpoint_;
  std::function<bool()> is_ready_;
  std::atomic<bool> leaving_{false};
  std::vector<job_wakeup_listener> wakeup_listeners_;
  // Guards the members below.
  mutable state::ranked_mutex mutex_{state::lock_rank::kMembership};
  std::unique_ptr<peer_table> peers_;
  peer_mesh_counters counters_;
  std::chrono::steady_clock::time_point last_query_;
  // Addresses with a connection, so that connections to addresses that are no longer contacted can be closed.
  std::set<std::string> connected_;
  // Must be the last member, because its thread uses the others.
  std::unique_ptr<transport::peer_socket> socket_;
};

}  // namespace hickorystall::coordination
