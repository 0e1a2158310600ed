#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "transport/http_message.h"

namespace hickorystall::harness {

/// Result of one blocking exchange.
struct test_response {
  /// HTTP status; 0 when no whole response was read.
  int status = 0;
  /// Header fields.
  transport::header_list headers;
  /// Body.
  std::string body;
  /// True when the peer may have received a byte of the request.
  bool bytes_sent = false;
  /// Why no whole response was read; empty otherwise.
  std::string failure;

  /// The body as JSON; discarded when it is not JSON.
  nlohmann::json Json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// One keep-alive connection of a blocking HTTP client. It connects at the first exchange and never repeats
/// one by itself.
class test_connection {
 public:
  /// `port` is on 127.0.0.1.
  explicit test_connection(int port);
  ~test_connection();
  test_connection(const test_connection&) = delete;
  test_connection& operator=(const test_connection&) = delete;

  /// Sends the request and reads the response within `timeout`. A connection that the peer has closed, or on
  /// which it has announced that, is replaced before anything is sent. After a failure or a response that
  /// closes the connection the next call connects again.
  test_response Send(transport::http_request request,
                     std::chrono::milliseconds timeout = std::chrono::seconds(10));
  /// True while a connection is open that the last response did not close.
  bool is_open() const;
  /// True when the peer has closed the idle connection or has sent an answer that nobody asked for.
  bool PeerHasClosed();

 private:
  struct open_stream;
  const int port_;
  std::unique_ptr<open_stream> stream_;
};

/// Sends one request on a connection of its own.
test_response SendOnce(int port, transport::http_request request,
                       std::chrono::milliseconds timeout = std::chrono::seconds(10));

/// Returns a request with a JSON body.
transport::http_request JsonRequest(std::string method, std::string target, const nlohmann::json& body = {});

}  // namespace hickorystall::harness
