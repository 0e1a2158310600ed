#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "protocol/error_response.h"
#include "transport/async_event.h"
#include "transport/http_server.h"

namespace hickorystall::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kSlowRequest = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

// A blocking TCP connection, for tests that control exactly which bytes are sent and when.
struct raw_client {
  explicit raw_client(int port) {
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, error);
    connected = !error;
  }
  void Send(const std::string& text) { asio::write(socket, asio::buffer(text), error); }
  // Reads until the connection ends. `error` is eof unless the connection was reset.
  std::string ReadAll() {
    std::string text;
    asio::read(socket, asio::dynamic_buffer(text), error);
    return text;
  }
  // Reads until the text ends with `end` or the connection fails.
  std::string ReadUntil(const std::string& end) {
    std::string text;
    char byte = 0;
    while (!error && !text.ends_with(end)) {
      if (asio::read(socket, asio::buffer(&byte, 1), error) == 1) text += byte;
    }
    return text;
  }

  asio::io_context context;
  tcp::socket socket{context};
  boost::system::error_code error;
  bool connected = false;
};

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

struct stop_fixture {
  explicit stop_fixture(http_server_settings settings = {}) : pool(2) {
    settings.linger_timeout = milliseconds(5000);
    server = std::make_unique<http_server>(
        pool, settings,
        [this](http_request request) -> asio::awaitable<http_response> {
          ++handled;
          if (request.path() == "/slow") co_await Sleep(milliseconds(200));
          co_return JsonResponse(200, request.body);
        },
        protocol::MakeReadFailureResponse);
    REQUIRE(server->Start().ok());
    pool.Start();
  }
  ~stop_fixture() { pool.Stop(); }

  event_loop_pool pool;
  std::atomic<int> handled{0};
  std::unique_ptr<http_server> server;
};

// Guards against a close without a response, after which a client cannot tell whether its request was run.
TEST_CASE_METHOD(stop_fixture, "an idle connection receives 408 before it is closed", "[http_stop]") {
  raw_client client(server->port());
  client.Send(kRequest);
  CHECK(client.ReadUntil("ok").starts_with("HTTP/1.1 200"));
  server->StopAccepting();
  const std::string response = client.ReadAll();
  CHECK(client.error == asio::error::eof);
  CHECK(response.starts_with("HTTP/1.1 408"));
  CHECK(response.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
}

// Guards against a reset that destroys the last response on its way, because a late request stays unread.
TEST_CASE_METHOD(stop_fixture, "a request on a closing connection is not run and not reset", "[http_stop]") {
  raw_client client(server->port());
  client.Send(kRequest);
  client.ReadUntil("ok");
  server->StopAccepting();
  CHECK(client.ReadUntil(" 408 ") == "HTTP/1.1 408 ");
  client.Send(kRequest);
  CHECK(client.ReadAll().find("\"ran\":\"no\"") != std::string::npos);
  CHECK(client.error == asio::error::eof);
  CHECK(handled == 1);
}

struct long_last_request_timeout : stop_fixture {
  long_last_request_timeout() : stop_fixture(Settings()) {}
  static http_server_settings Settings() {
    http_server_settings settings;
    settings.last_request_timeout = milliseconds(5000);
    return settings;
  }
};

TEST_CASE_METHOD(long_last_request_timeout, "a request sent shortly after the stop is handled",
                 "[http_stop]") {
  raw_client client(server->port());
  client.Send(kRequest);
  client.ReadUntil("ok");
  server->StopAccepting();
  while (server->is_listening()) std::this_thread::sleep_for(milliseconds(1));
  client.Send(kRequest);
  const std::string response = client.ReadAll();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(stop_fixture, "a drain handles all pipelined requests before it closes the connection",
                 "[http_stop]") {
  raw_client client(server->port());
  client.Send(std::string(kSlowRequest) + kRequest + kRequest);
  while (server->requests_in_flight() == 0) std::this_thread::sleep_for(milliseconds(1));
  server->StopAccepting();
  CHECK(CountOccurrences(client.ReadAll(), "HTTP/1.1 200") == 3);
  CHECK(client.error == asio::error::eof);
}

// Guards against resets of connections that the kernel has completed but the server has not accepted.
TEST_CASE_METHOD(stop_fixture, "a connection made during the stop is either served or refused",
                 "[http_stop]") {
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> broken{0};
  const auto connect_until_refused = [&] {
    for (;;) {
      raw_client client(server->port());
      if (!client.connected) {
        ++refused;
        return;
      }
      client.Send(kRequest);
      ++(client.ReadUntil("ok").starts_with("HTTP/1.1 200") ? answered : broken);
    }
  };
  std::vector<std::thread> clients;
  clients.reserve(8);
  for (int i = 0; i < 8; ++i) clients.emplace_back(connect_until_refused);
  while (answered < 200) std::this_thread::sleep_for(milliseconds(1));
  server->StopAccepting();
  for (std::thread& client : clients) client.join();
  CHECK(broken == 0);
  CHECK(refused == 8);
}

struct short_timeouts : stop_fixture {
  short_timeouts() : stop_fixture(Settings()) {}
  static http_server_settings Settings() {
    http_server_settings settings;
    settings.read_timeout = milliseconds(100);
    settings.idle_timeout = milliseconds(100);
    return settings;
  }
};

// Guards against a close without a response after the read timeout.
TEST_CASE_METHOD(short_timeouts, "a request that arrives too slowly is refused as not run", "[http_stop]") {
  raw_client client(server->port());
  client.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 408"));
  CHECK(client.error == asio::error::eof);
  CHECK(handled == 0);
}

TEST_CASE_METHOD(short_timeouts, "a connection that reaches the idle timeout receives 408", "[http_stop]") {
  raw_client client(server->port());
  CHECK(client.ReadAll().starts_with("HTTP/1.1 408"));
  CHECK(client.error == asio::error::eof);
}

}  // namespace
}  // namespace hickorystall::transport
