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
  /// "ip:port" that peers are told to use; empty for the address that is listened on.
  std::string advertise;
  /// "ip:port" of peers to contact first.
  std::vector<std::string> seeds;
  /// Interval of heartbeats.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// Time without a message after which a peer counts as dead.
  std::chrono::milliseconds dead_after{6000};
};

/// Counters of the mesh since start.
struct peer_mesh_counters {
  /// Messages sent.
  std::int64_t messages_sent = 0;
  /// Bytes of the messages sent, without the framing of ZMTP and TCP.
  std::int64_t bytes_sent = 0;
  /// Messages received.
  std::int64_t messages_received = 0;
};

/// Connects the processes of the system with one another (docs/design.md, section 4.7): heartbeats, the
/// distribution of accepted configurations and job hints. Thread-safe.
class peer_mesh {
 public:
  /// Takes the pool of a job hint; runs on the socket's thread and must not block.
  using job_hint_listener = std::function<void(const std::string& pool)>;

  /// `config` must outlive the mesh.
  peer_mesh(config_keeper& config, peer_mesh_settings settings);
  ~peer_mesh();
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  /// Binds the socket and asks the seeds for the newest configuration. kUnavailable when the address is in
  /// use.
  absl::Status Start();
  /// Tells the peers that this instance leaves: it no longer counts as live, but still sends and receives.
  void AnnounceLeaving();
  /// Closes the socket.
  void Stop();
  /// Sends heartbeats until `stop` returns true.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);

  /// Makes the `ready` flag of heartbeats. Set before Start.
  void SetReadiness(std::function<bool()> is_ready) { is_ready_ = std::move(is_ready); }
  /// Calls `on_hint` for each job hint received. Add before Start.
  void AddJobWakeupListener(job_hint_listener on_hint) { hint_listeners_.push_back(std::move(on_hint)); }

  /// Tells every live scheduler that the inbox of `pool` has a new row. Best effort: the row is found by the
  /// scheduler's own poll when the hint is lost.
  void SendJobWakeup(const std::string& pool);
  /// Sends an accepted configuration to every live peer. One that is silent finds it by polling the table, or
  /// by a heartbeat that names a higher version than its own.
  void PushConfig(std::int64_t version, const std::string& body);
  /// Contacts the peers at `endpoints`, which were read from the table.
  void SetListedEndpoints(std::set<std::string> endpoints);

  /// Live instances of `role` by name, this instance included when it has the role. An empty role stands for
  /// all. A peer is live for 6 s after its last message unless it announced its stop.
  std::vector<peer_info> LivePeers(const std::string& role) const;
  /// Every other instance that was heard from since the start, by name.
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
  void AnswerQuery(std::int64_t known_version, const std::string& endpoint);
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
  std::vector<job_hint_listener> hint_listeners_;
  // Guards the members below.
  mutable state::ranked_mutex mutex_{state::lock_rank::kMembership};
  std::unique_ptr<peer_table> peers_;
  peer_mesh_counters counters_;
  std::chrono::steady_clock::time_point last_query_;
  // Addresses with a connection, to close those that are no longer contacted.
  std::set<std::string> connected_;
  // Last member: its thread uses the others.
  std::unique_ptr<transport::peer_socket> socket_;
};

}  // namespace hickorystall::coordination
