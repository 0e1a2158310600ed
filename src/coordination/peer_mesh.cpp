#include "coordination/peer_mesh.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "protocol/peer.pb.h"
#include "protocol/token_hash.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
namespace wire = protocol::wire;
using clock = std::chrono::steady_clock;

namespace {

// Shortest time between queries for a higher version, because the reply is large.
constexpr std::chrono::milliseconds kQueryInterval{500};
// Interval at which Run checks whether it must stop.
constexpr std::chrono::milliseconds kStopCheckInterval{100};

std::uint64_t RandomIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

peer_info ToPeerInfo(const wire::peer_identity& identity) {
  peer_info peer;
  peer.instance = identity.instance();
  peer.role = identity.role();
  peer.vm = identity.vm();
  peer.endpoint = identity.endpoint();
  peer.incarnation = identity.incarnation();
  return peer;
}

}  // namespace

peer_mesh::peer_mesh(config_keeper& config, peer_mesh_settings settings)
    : config_(config), settings_(std::move(settings)), incarnation_(RandomIncarnation()) {
  transport::peer_socket_settings socket_settings;
  socket_settings.listen = settings_.listen;
  socket_ = std::make_unique<transport::peer_socket>(socket_settings,
                                                     [this](const std::string& bytes) { Receive(bytes); });
  peers_ = std::make_unique<peer_table>(settings_.listen, settings_.seeds, settings_.dead_after);
}

peer_mesh::~peer_mesh() { socket_->Stop(); }

absl::Status peer_mesh::Start() {
  {
    // The socket's thread may receive messages before the own address is known here; the lock blocks it until
    // then.
    const std::lock_guard lock(mutex_);
    absl::Status started = socket_->Start();
    if (!started.ok()) return started;
    own_endpoint_ = settings_.advertise.empty() ? socket_->endpoint() : settings_.advertise;
    peers_ = std::make_unique<peer_table>(own_endpoint_, settings_.seeds, settings_.dead_after);
  }
  for (const std::string& endpoint : Endpoints()) {
    SendHeartbeat(endpoint);
    SendQuery(endpoint);
  }
  return absl::OkStatus();
}

void peer_mesh::AnnounceLeaving() {
  leaving_ = true;
  SendHeartbeats();
}

void peer_mesh::Stop() { socket_->Stop(); }

asio::awaitable<void> peer_mesh::Run(std::function<bool()> stop) {
  clock::time_point next = clock::now();
  while (!stop()) {
    if (clock::now() >= next) {
      SendHeartbeats();
      next = clock::now() + settings_.heartbeat_interval;
    }
    co_await transport::Sleep(kStopCheckInterval);
  }
}

void peer_mesh::SendJobWakeup(const std::string& pool) {
  const message_ptr message = NewMessage();
  message->mutable_hint()->set_pool(pool);
  for (const peer_info& peer : LivePeers("scheduler")) {
    if (peer.instance != settings_.instance) SendTo(peer.endpoint, *message);
  }
}

void peer_mesh::PushConfig(std::int64_t version, const std::string& body) {
  const message_ptr message = NewMessage();
  wire::config_push& push = *message->mutable_push();
  push.set_version(version);
  push.set_body(body);
  push.set_digest(protocol::Sha256Hex(body));
  for (const peer_info& peer : LivePeers("")) {
    if (peer.instance != settings_.instance) SendTo(peer.endpoint, *message);
  }
}

void peer_mesh::SetListedEndpoints(std::set<std::string> endpoints) {
  const std::lock_guard lock(mutex_);
  peers_->SetListedEndpoints(std::move(endpoints));
}

std::vector<peer_info> peer_mesh::LivePeers(const std::string& role) const {
  const peer_info own = self();
  const std::lock_guard lock(mutex_);
  std::vector<peer_info> live = peers_->Live(role, clock::now());
  if (!own.leaving && (role.empty() || role == own.role)) {
    const auto place =
        std::lower_bound(live.begin(), live.end(), own,
                         [](const auto& left, const auto& right) { return left.instance < right.instance; });
    live.insert(place, own);
  }
  return live;
}

std::vector<peer_info> peer_mesh::AllPeers() const {
  const std::lock_guard lock(mutex_);
  return peers_->All();
}

peer_info peer_mesh::self() const {
  peer_info own;
  own.instance = settings_.instance;
  own.role = settings_.role;
  own.vm = settings_.vm;
  own.endpoint = own_endpoint_;
  own.incarnation = incarnation_;
  own.config_version = config_.version();
  own.ready = is_ready_ && is_ready_();
  own.leaving = leaving_;
  own.store_reachable = config_.HasStoreContact(clock::now());
  own.last_contact = clock::now();
  return own;
}

peer_mesh_counters peer_mesh::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

std::set<std::string> peer_mesh::Endpoints() const {
  const std::lock_guard lock(mutex_);
  return peers_->Endpoints(clock::now());
}

peer_mesh::message_ptr peer_mesh::NewMessage() const {
  auto message = std::make_unique<wire::peer_message>();
  wire::peer_identity& sender = *message->mutable_sender();
  sender.set_instance(settings_.instance);
  sender.set_role(settings_.role);
  sender.set_vm(settings_.vm);
  sender.set_endpoint(own_endpoint_);
  sender.set_incarnation(incarnation_);
  return message;
}

void peer_mesh::SendTo(const std::string& endpoint, const wire::peer_message& message) {
  std::string bytes = message.SerializeAsString();
  {
    const std::lock_guard lock(mutex_);
    ++counters_.messages_sent;
    counters_.bytes_sent += static_cast<std::int64_t>(bytes.size());
    connected_.insert(endpoint);
  }
  socket_->Send(endpoint, std::move(bytes));
}

void peer_mesh::SendHeartbeat(const std::string& endpoint) {
  const message_ptr message = NewMessage();
  wire::peer_heartbeat& heartbeat = *message->mutable_heartbeat();
  heartbeat.set_config_version(config_.version());
  heartbeat.set_ready(!leaving_ && is_ready_ && is_ready_());
  heartbeat.set_leaving(leaving_);
  heartbeat.set_store_reachable(config_.HasStoreContact(clock::now()));
  SendTo(endpoint, *message);
}

void peer_mesh::SendHeartbeats() {
  const std::set<std::string> endpoints = Endpoints();
  std::set<std::string> unused;
  {
    const std::lock_guard lock(mutex_);
    std::set_difference(connected_.begin(), connected_.end(), endpoints.begin(), endpoints.end(),
                        std::inserter(unused, unused.end()));
    for (const std::string& endpoint : unused) connected_.erase(endpoint);
  }
  for (const std::string& endpoint : unused) socket_->Disconnect(endpoint);
  for (const std::string& endpoint : endpoints) SendHeartbeat(endpoint);
}

void peer_mesh::SendQuery(const std::string& endpoint) {
  const message_ptr message = NewMessage();
  message->mutable_query()->set_known_version(config_.version());
  SendTo(endpoint, *message);
}

void peer_mesh::Receive(const std::string& bytes) {
  wire::peer_message message;
  if (!message.ParseFromString(bytes) || message.sender().instance().empty()) {
    LOG(WARNING) << "peer: a message of " << bytes.size() << " bytes is not valid";
    return;
  }
  if (message.sender().instance() == settings_.instance) return;
  const clock::time_point now = clock::now();
  peer_info peer = ToPeerInfo(message.sender());
  // Read before the lock is taken: the keeper's lock must be acquired before the mesh's.
  const std::int64_t own_version = config_.version();
  bool send_query = false;
  bool is_new = false;
  {
    const std::lock_guard lock(mutex_);
    ++counters_.messages_received;
    if (message.has_heartbeat()) {
      const wire::peer_heartbeat& heartbeat = message.heartbeat();
      peer.config_version = heartbeat.config_version();
      peer.ready = heartbeat.ready();
      peer.leaving = heartbeat.leaving();
      peer.store_reachable = heartbeat.store_reachable();
      is_new = peers_->RecordContact(peer, now) && !peer.leaving;
      send_query = peer.config_version > own_version && now - last_query_ >= kQueryInterval;
      if (send_query) last_query_ = now;
    }
  }
  config_.RecordPeerContact(now);
  if (is_new) SendHeartbeat(peer.endpoint);
  if (send_query) SendQuery(peer.endpoint);
  if (message.has_push()) {
    HandlePush(message.push().version(), message.push().body(), message.push().digest(), peer.endpoint);
  }
  if (message.has_query()) HandleQuery(message.query().known_version(), peer.endpoint);
  if (message.has_hint()) {
    for (const job_wakeup_listener& on_wakeup : wakeup_listeners_) on_wakeup(message.hint().pool());
  }
}

void peer_mesh::HandlePush(std::int64_t version, const std::string& body, const std::string& digest,
                           const std::string& sender_endpoint) {
  if (protocol::Sha256Hex(body) != digest) {
    LOG(ERROR) << "peer: version " << version << " from " << sender_endpoint << " has a wrong digest";
    return;
  }
  config_.Offer(version, body);
  // Confirms the version to the sender, which may be waiting for it.
  SendHeartbeat(sender_endpoint);
}

void peer_mesh::HandleQuery(std::int64_t known_version, const std::string& endpoint) {
  const config_keeper::config_ptr current = config_.current();
  if (current == nullptr || current->version <= known_version) return;
  const message_ptr message = NewMessage();
  wire::config_push& push = *message->mutable_push();
  push.set_version(current->version);
  push.set_body(current->text);
  push.set_digest(protocol::Sha256Hex(current->text));
  SendTo(endpoint, *message);
}

}  // namespace hickorystall::coordination
