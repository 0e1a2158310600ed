#include "transport/peer_socket.h"

#include <glog/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "state/ranked_mutex.h"

namespace hickorystall::transport {
namespace {

// Time in which messages queued before Stop may still be sent.
constexpr std::chrono::milliseconds kLinger{200};
constexpr std::chrono::milliseconds kReconnectDelay{100};
constexpr std::chrono::milliseconds kMaxReconnectDelay{1000};
// Messages read in one turn before queued sends are looked at again.
constexpr int kReceiveBatch = 64;

// Something for the socket's thread to do.
struct socket_command {
  std::string endpoint;
  std::string message;
  // True to close the connection instead of sending.
  bool disconnect = false;
};

}  // namespace

// Owns the ZeroMQ sockets. Everything but Push, Stop and the bound endpoint happens on its thread.
class peer_socket::worker {
 public:
  worker(peer_socket_settings settings, receiver on_message)
      : settings_(std::move(settings)),
        on_message_(std::move(on_message)),
        wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    CHECK_GE(wakeup_, 0) << "eventfd failed, errno " << errno;
  }
  ~worker() {
    Stop();
    close(wakeup_);
  }
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  absl::Status Start() {
    try {
      pull_.set(zmq::sockopt::linger, 0);
      pull_.set(zmq::sockopt::maxmsgsize, settings_.max_message_bytes);
      SetPings(pull_);
      pull_.bind("tcp://" + settings_.listen);
      endpoint_ = pull_.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
    } catch (const zmq::error_t& error) {
      return absl::UnavailableError("cannot listen for peers on " + settings_.listen + ": " + error.what());
    }
    thread_ = std::thread([this] { Run(); });
    return absl::OkStatus();
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    WakeUp();
    if (thread_.joinable()) thread_.join();
  }

  void Push(socket_command command) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      commands_.push_back(std::move(command));
    }
    WakeUp();
  }

  const std::string& endpoint() const { return endpoint_; }

 private:
  void WakeUp() const {
    const std::uint64_t one = 1;
    // A full counter wakes the thread as well, so a failed write needs no handling.
    if (write(wakeup_, &one, sizeof(one)) < 0) return;
  }

  void SetPings(zmq::socket_t& socket) const {
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(settings_.ping_interval.count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(settings_.ping_timeout.count()));
    socket.set(zmq::sockopt::handshake_ivl, static_cast<int>(settings_.ping_timeout.count()));
  }

  void Run() {
    for (;;) {
      std::array<zmq::pollitem_t, 2> items{
          {{pull_.handle(), 0, ZMQ_POLLIN, 0}, {nullptr, wakeup_, ZMQ_POLLIN, 0}}};
      zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
      std::uint64_t count = 0;
      while (read(wakeup_, &count, sizeof(count)) > 0) continue;
      Receive();
      std::vector<socket_command> commands;
      bool stop = false;
      {
        const std::lock_guard lock(mutex_);
        commands.swap(commands_);
        stop = stopping_;
      }
      for (socket_command& command : commands) Execute(std::move(command));
      if (stop) break;
    }
    for (auto& [endpoint, push] : pushes_) push.set(zmq::sockopt::linger, static_cast<int>(kLinger.count()));
    pushes_.clear();
    pull_.close();
  }

  void Receive() {
    for (int i = 0; i < kReceiveBatch; ++i) {
      zmq::message_t message;
      if (!pull_.recv(message, zmq::recv_flags::dontwait)) return;
      on_message_(message.to_string());
    }
  }

  void Execute(socket_command command) {
    try {
      if (command.disconnect) {
        pushes_.erase(command.endpoint);
        return;
      }
      auto found = pushes_.find(command.endpoint);
      if (found == pushes_.end()) found = pushes_.emplace(command.endpoint, Connect(command.endpoint)).first;
      found->second.send(zmq::buffer(command.message), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& error) {
      LOG(WARNING) << "peer: cannot send to " << command.endpoint << ": " << error.what();
    }
  }

  zmq::socket_t Connect(const std::string& endpoint) {
    zmq::socket_t push(context_, zmq::socket_type::push);
    push.set(zmq::sockopt::linger, 0);
    push.set(zmq::sockopt::sndhwm, settings_.max_queued_messages);
    push.set(zmq::sockopt::reconnect_ivl, static_cast<int>(kReconnectDelay.count()));
    push.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(kMaxReconnectDelay.count()));
    push.set(zmq::sockopt::connect_timeout, static_cast<int>(settings_.ping_timeout.count()));
    SetPings(push);
    push.connect("tcp://" + endpoint);
    return push;
  }

  const peer_socket_settings settings_;
  const receiver on_message_;
  const int wakeup_;
  zmq::context_t context_{1};
  zmq::socket_t pull_{context_, zmq::socket_type::pull};
  std::map<std::string, zmq::socket_t> pushes_;
  std::string endpoint_;
  std::thread thread_;
  // Guards the members below.
  state::ranked_mutex mutex_{state::lock_rank::kConnectionPool};
  std::vector<socket_command> commands_;
  bool stopping_ = false;
};

peer_socket::peer_socket(peer_socket_settings settings, receiver on_message)
    : worker_(std::make_unique<worker>(std::move(settings), std::move(on_message))) {}

peer_socket::~peer_socket() = default;

absl::Status peer_socket::Start() { return worker_->Start(); }

void peer_socket::Stop() { worker_->Stop(); }

std::string peer_socket::endpoint() const { return worker_->endpoint(); }

void peer_socket::Send(std::string endpoint, std::string message) {
  worker_->Push({std::move(endpoint), std::move(message), false});
}

void peer_socket::Disconnect(std::string endpoint) { worker_->Push({std::move(endpoint), {}, true}); }

}  // namespace hickorystall::transport
