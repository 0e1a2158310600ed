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

/// How a stand-in executor handles the requests that it receives.
enum class behaviour {
  /// Runs the request and responds.
  kNormal,
  /// Responds with 500 at once without running the request.
  kFail,
  /// Accepts the request, but neither runs it nor responds.
  kHangBefore,
  /// Runs the request and never responds.
  kHangAfter,
  /// Refuses the request with 503 and X-Executor-State "busy".
  kBusy,
  /// Runs the request and responds with an X-Request-Id that differs from the request's.
  kWrongId,
  /// Runs the request and responds without X-Request-Id.
  kNoId,
  /// Runs the request and sends the id and body of the previous response.
  kPrevious,
  /// Runs the request, announces the full length, sends half of the body and closes the connection.
  kTruncate,
  /// Runs the request and sends the response twice.
  kDuplicate,
  /// Runs the request and closes the connection without a response.
  kReset,
};

/// Returns the behaviour with the name that the control API uses. Sets `known` to false and returns kNormal
/// when there is none.
behaviour ParseBehaviour(const std::string& name, bool& known);

/// A request that was started on the executor, whether or not its response was delivered.
struct run_entry {
  /// X-Request-Id of the request.
  std::string id;
  /// X-Kind of the request.
  std::string kind;
  std::string body;
  /// Start time by the wall clock, in milliseconds since the Unix epoch.
  std::int64_t started_at_ms = 0;
  /// True once the service time has elapsed.
  bool finished = false;
  /// Body of the response; empty until the request has finished.
  std::string response;
};

/// A stand-in executor that listens on one port. Not thread-safe: all calls are made on the thread that runs
/// its io_context.
class executor : public std::enable_shared_from_this<executor> {
 public:
  /// Settings of the executor. The control API changes all but `connections`.
  struct settings {
    /// Time for which a request occupies its slot.
    std::chrono::milliseconds service{5};
    /// Behaviour towards the following requests.
    behaviour mode = behaviour::kNormal;
    /// Number of requests that `mode` still applies to; negative for no limit.
    int mode_count = -1;
    /// True when new requests are refused with X-Executor-State "leaving".
    bool leaving = false;
    /// False when the executor neither listens nor holds connections, as if its VM were gone.
    bool present = true;
    /// Maximum number of requests that run at the same time.
    int slots = 8;
    /// Maximum number of open connections; further ones are closed at once.
    int connections = 64;
  };

  executor(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint, settings initial);

  /// Starts to listen. Throws boost::system::system_error when the address is in use.
  void Start();
  /// Replaces the settings and starts or stops listening when `present` changes.
  void Apply(const settings& changed);
  const settings& current() const { return settings_; }
  /// Requests that were run, in the order of their start.
  const std::vector<run_entry>& log() const { return log_; }
  /// Number of execution requests received, whether they ran or not.
  std::int64_t received() const { return received_; }
  /// Wall-clock time of the last execution request, in milliseconds since the Unix epoch; 0 before the first.
  std::int64_t last_received_at_ms() const { return last_received_at_ms_; }
  /// Number of connections accepted, including those that were closed at once.
  std::int64_t accepted() const { return accepted_; }
  /// Number of requests that run or wait for a slot.
  int in_flight() const { return in_flight_; }

 private:
  using request_message = boost::beast::http::request<boost::beast::http::string_body>;
  using response_message = boost::beast::http::response<boost::beast::http::string_body>;
  struct client {
    explicit client(boost::asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<client> connection);
  boost::asio::awaitable<bool> HandleRequest(client& connection, const request_message& request);
  boost::asio::awaitable<bool> Execute(client& connection, const request_message& request);
  boost::asio::awaitable<std::size_t> RunInSlot(const request_message& request);
  boost::asio::awaitable<bool> SendWithFault(behaviour mode, client& connection, response_message response);
  boost::asio::awaitable<bool> Write(client& connection, response_message& response);
  response_message DescribeExecution(const std::string& id) const;
  behaviour NextBehaviour();

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
