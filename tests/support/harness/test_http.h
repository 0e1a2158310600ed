#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "transport/http_message.h"

namespace hickorystall::harness {

/// Result of one HTTP exchange.
struct test_response {
  /// HTTP status code; 0 when no whole response was read.
  int status = 0;
  transport::header_list headers;
  std::string body;
  /// True when the peer may have received part of the request.
  bool bytes_sent = false;
  /// Why no whole response was read; empty otherwise.
  std::string failure;

  /// The body as JSON; a value of type `discarded` when it is not valid JSON.
  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// A keep-alive connection of a blocking HTTP client. It connects at the first exchange and never retries a
/// request.
class test_connection {
 public:
  /// The connection goes to `port` on 127.0.0.1.
  explicit test_connection(int port);
  ~test_connection();
  test_connection(const test_connection&) = delete;
  test_connection& operator=(const test_connection&) = delete;

  /// Sends the request and reads the response within `timeout`. An open connection for which PeerHasClosed
  /// returns true is replaced before anything is sent. After a failure, or a response that closes the
  /// connection, the next call connects again.
  test_response Send(transport::http_request request,
                     std::chrono::milliseconds timeout = std::chrono::seconds(10));
  /// Returns whether the connection was left open by the last exchange.
  bool is_open() const;
  /// Returns whether the idle connection cannot be used: it is not open, the peer has closed it, or the peer
  /// has sent data without a request.
  bool PeerHasClosed();

 private:
  struct open_stream;
  const int port_;
  std::unique_ptr<open_stream> stream_;
};

/// Sends one request on a new connection, which is closed afterwards.
test_response SendOnce(int port, transport::http_request request,
                       std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// Returns a request with a JSON body; a null `body` sends an empty one.
transport::http_request JsonRequest(std::string method, std::string target, const nlohmann::json& body = {});

}  // namespace hickorystall::harness
