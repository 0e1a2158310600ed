#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickorystall::standin {

/// How a stand-in executor treats the requests that it receives.
enum class behaviour {
  /// Runs and answers.
  kNormal,
  /// Answers 500 at once without running.
  kFail,
  /// Accepts the request, neither runs it nor answers.
  kHangBefore,
  /// Runs the request and never answers.
  kHangAfter,
  /// Refuses as busy.
  kBusy,
  /// Runs and answers with another request's X-Request-Id.
  kWrongId,
  /// Runs and answers without X-Request-Id.
  kNoId,
  /// Runs and answers with the answer of the request before.
  kPrevious,
  /// Runs, announces the whole length, sends half of the body and closes.
  kTruncate,
  /// Runs and sends the answer twice.
  kDuplicate,
  /// Runs and closes the connection without an answer.
  kReset,
};

/// Returns the behaviour called `name`, or kNormal with `known` false.
behaviour ParseBehaviour(const std::string& name, bool& known);

/// One request that really ran.
struct run_entry {
  /// X-Request-Id that the gateway sent.
  std::string id;
  /// X-Kind.
  std::string kind;
  /// Request body.
  std::string body;
  /// Start on the wall clock, in milliseconds.
  std::int64_t started_at_ms = 0;
  /// True when the service time has passed.
  bool finished = false;
  /// Answer that was made.
  std::string answer;
};

/// One stand-in executor on one port. Used by one thread only.
class executor : public std::enable_shared_from_this<executor> {
 public:
  /// Settings that the control API can change.
  struct settings {
    /// Service time of one request.
    std::chrono::milliseconds service{5};
    /// What happens to requests.
    behaviour mode = behaviour::kNormal;
    /// Requests that `mode` still applies to; negative for all.
    int mode_count = -1;
    /// True when new work is refused as leaving.
    bool leaving = false;
    /// False when the executor neither listens nor keeps connections.
    bool present = true;
    /// Requests that run at the same time.
    int slots = 8;
    /// Connections that are accepted; more are closed at once.
    int connections = 64;
  };

  executor(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint, settings initial);

  /// Listens. Throws boost::system::system_error when the address is in use.
  void Start();
  /// Applies changed settings; starts or stops listening when `present` changes.
  void Apply(const settings& changed);
  /// Current settings.
  const settings& current() const { return settings_; }
  /// Requests that ran, in order.
  const std::vector<run_entry>& log() const { return log_; }
  /// Requests received, run or not.
  std::int64_t received() const { return received_; }
  /// Wall-clock time of the last request received, in milliseconds.
  std::int64_t last_received_at_ms() const { return last_received_at_ms_; }
  /// Connections accepted since the start.
  std::int64_t accepted() const { return accepted_; }
  /// Requests that run or wait for a slot.
  int in_flight() const { return in_flight_; }

 private:
  using message = boost::beast::http::request<boost::beast::http::string_body>;
  using answer_message = boost::beast::http::response<boost::beast::http::string_body>;
  struct client {
    explicit client(boost::asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<client> connection);
  boost::asio::awaitable<bool> Answer(client& connection, const message& request);
  boost::asio::awaitable<bool> Execute(client& connection, const message& request);
  boost::asio::awaitable<std::size_t> RunInSlot(const message& request);
  boost::asio::awaitable<bool> SendAs(behaviour mode, client& connection, answer_message answer);
  boost::asio::awaitable<bool> Write(client& connection, answer_message& answer);
  answer_message DescribeExecution(const std::string& id) const;
  behaviour TakeBehaviour();

  boost::asio::io_context& context_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  settings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer slot_free_;
  std::set<std::shared_ptr<client>> clients_;
  std::vector<run_entry> log_;
  std::map<std::string, std::size_t> by_id_;
  std::string previous_id_ = "none";
  std::string previous_body_ = "none";
  int in_flight_ = 0;
  int running_ = 0;
  std::int64_t received_ = 0;
  std::int64_t last_received_at_ms_ = 0;
  std::int64_t accepted_ = 0;
};

}  // namespace hickorystall::standin
