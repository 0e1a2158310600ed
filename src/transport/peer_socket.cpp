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

// Time after Stop in which queued messages may still be sent.
constexpr std::chrono::milliseconds kLinger{200};
constexpr std::chrono::milliseconds kReconnectDelay{100};
constexpr std::chrono::milliseconds kMaxReconnectDelay{1000};
// Messages received in one iteration before queued commands are processed.
constexpr int kReceiveBatch = 64;

// A command to the socket's thread: send `message` to `endpoint`, or close the connection.
struct socket_command {
  std::string endpoint;
  std::string message;
  // True to close the connection instead of sending a message.
  bool disconnect = false;
};

}  // namespace

// Owns the ZeroMQ sockets and the thread that uses them. Start binds; after it only Push, Stop and endpoint
// may be called, from any thread.
class peer_socket::io_thread {
 public:
  io_thread(peer_socket_settings settings, receiver on_message)
      : settings_(std::move(settings)),
        on_message_(std::move(on_message)),
        wakeup_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    CHECK_GE(wakeup_fd_, 0) << "eventfd failed, errno " << errno;
  }
  ~io_thread() {
    Stop();
    close(wakeup_fd_);
  }
  io_thread(const io_thread&) = delete;
  io_thread& operator=(const io_thread&) = delete;

  absl::Status Start() {
    try {
      pull_socket_.set(zmq::sockopt::linger, 0);
      pull_socket_.set(zmq::sockopt::maxmsgsize, settings_.max_message_bytes);
      SetPingOptions(pull_socket_);
      pull_socket_.bind("tcp://" + settings_.listen);
      endpoint_ = pull_socket_.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
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
    // The write fails only when the counter is full, which also wakes the thread.
    if (write(wakeup_fd_, &one, sizeof(one)) < 0) return;
  }

  void SetPingOptions(zmq::socket_t& socket) const {
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(settings_.ping_interval.count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(settings_.ping_timeout.count()));
    socket.set(zmq::sockopt::handshake_ivl, static_cast<int>(settings_.ping_timeout.count()));
  }

  void Run() {
    for (;;) {
      std::array<zmq::pollitem_t, 2> items{
          {{pull_socket_.handle(), 0, ZMQ_POLLIN, 0}, {nullptr, wakeup_fd_, ZMQ_POLLIN, 0}}};
      zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
      std::uint64_t count = 0;
      while (read(wakeup_fd_, &count, sizeof(count)) > 0) continue;
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
    for (auto& [endpoint, push_socket] : push_sockets_)
      push_socket.set(zmq::sockopt::linger, static_cast<int>(kLinger.count()));
    push_sockets_.clear();
    pull_socket_.close();
  }

  void Receive() {
    for (int i = 0; i < kReceiveBatch; ++i) {
      zmq::message_t message;
      if (!pull_socket_.recv(message, zmq::recv_flags::dontwait)) return;
      on_message_(message.to_string());
    }
  }

  void Execute(socket_command command) {
    try {
      if (command.disconnect) {
        push_sockets_.erase(command.endpoint);
        return;
      }
      auto found = push_sockets_.find(command.endpoint);
      if (found == push_sockets_.end())
        found = push_sockets_.emplace(command.endpoint, Connect(command.endpoint)).first;
      found->second.send(zmq::buffer(command.message), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& error) {
      LOG(WARNING) << "peer: cannot send to " << command.endpoint << ": " << error.what();
    }
  }

  zmq::socket_t Connect(const std::string& endpoint) {
    zmq::socket_t push_socket(context_, zmq::socket_type::push);
    push_socket.set(zmq::sockopt::linger, 0);
    push_socket.set(zmq::sockopt::sndhwm, settings_.max_queued_messages);
    push_socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(kReconnectDelay.count()));
    push_socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(kMaxReconnectDelay.count()));
    push_socket.set(zmq::sockopt::connect_timeout, static_cast<int>(settings_.ping_timeout.count()));
    SetPingOptions(push_socket);
    push_socket.connect("tcp://" + endpoint);
    return push_socket;
  }

  const peer_socket_settings settings_;
  const receiver on_message_;
  const int wakeup_fd_;
  zmq::context_t context_{1};
  zmq::socket_t pull_socket_{context_, zmq::socket_type::pull};
  std::map<std::string, zmq::socket_t> push_sockets_;
  std::string endpoint_;
  std::thread thread_;
  // Guards `commands_` and `stopping_`.
  state::ranked_mutex mutex_{state::lock_rank::kConnectionPool};
  std::vector<socket_command> commands_;
  bool stopping_ = false;
};

peer_socket::peer_socket(peer_socket_settings settings, receiver on_message)
    : io_thread_(std::make_unique<io_thread>(std::move(settings), std::move(on_message))) {}

peer_socket::~peer_socket() = default;

absl::Status peer_socket::Start() { return io_thread_->Start(); }

void peer_socket::Stop() { io_thread_->Stop(); }

std::string peer_socket::endpoint() const { return io_thread_->endpoint(); }

void peer_socket::Send(std::string endpoint, std::string message) {
  io_thread_->Push({std::move(endpoint), std::move(message), false});
}

void peer_socket::Disconnect(std::string endpoint) { io_thread_->Push({std::move(endpoint), {}, true}); }

}  // namespace hickorystall::transport
