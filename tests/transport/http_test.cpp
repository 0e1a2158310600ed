#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "protocol/error_response.h"
#include "transport/async_event.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace hickorystall::transport {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A server that echoes request bodies, and a client for it.
struct echo_fixture {
  echo_fixture() : pool(2), client(pool, {}) {
    http_server_settings settings;
    settings.max_body_bytes = 1000;
    server = std::make_unique<http_server>(
        pool, settings,
        [](http_request request) -> asio::awaitable<http_response> {
          if (request.path() == "/slow") co_await Sleep(milliseconds(300));
          if (request.path() == "/throw") throw std::runtime_error("handler failed");
          co_return JsonResponse(200, request.body);
        },
        protocol::MakeReadFailureResponse);
    REQUIRE(server->Start().ok());
    pool.Start();
    endpoint = "127.0.0.1:" + std::to_string(server->port());
  }
  ~echo_fixture() { pool.Stop(); }

  http_exchange Send(http_request request, milliseconds timeout = milliseconds(2000)) {
    return asio::co_spawn(pool.next(), client.Send(endpoint, std::move(request), timeout), asio::use_future)
        .get();
  }

  event_loop_pool pool;
  http_client client;
  std::unique_ptr<http_server> server;
  std::string endpoint;
};

TEST_CASE_METHOD(echo_fixture, "an exchange returns the complete body", "[http]") {
  for (int i = 0; i < 20; ++i) {
    const http_exchange exchange = Send({"POST", "/", {}, std::to_string(i)});
    REQUIRE(exchange.status.ok());
    CHECK(exchange.response.body == std::to_string(i));
  }
  CHECK(server->open_connections() <= 2);
}

TEST_CASE_METHOD(echo_fixture, "a late response fails with DeadlineExceeded and bytes_sent", "[http]") {
  const http_exchange exchange = Send({"POST", "/slow", {}, "x"}, milliseconds(50));
  CHECK(absl::IsDeadlineExceeded(exchange.status));
  CHECK(exchange.bytes_sent);
}

TEST_CASE_METHOD(echo_fixture, "an oversized body is refused with status 413", "[http]") {
  const http_exchange exchange = Send({"POST", "/", {}, std::string(2000, 'x')});
  REQUIRE(exchange.status.ok());
  CHECK(exchange.response.status == 413);
}

// Guards against a handler's exception that leaves the client without a response and counts the connection
// as open for ever, until the server accepts no more.
TEST_CASE_METHOD(echo_fixture, "a handler that fails is answered with status 500", "[http]") {
  const http_exchange failed = Send({"POST", "/throw", {}, "x"});
  REQUIRE(failed.status.ok());
  CHECK(failed.response.status == 500);
  CHECK(server->requests_in_flight() == 0);
  const http_exchange next = Send({"POST", "/", {}, "y"});
  REQUIRE(next.status.ok());
  CHECK(next.response.body == "y");
  CHECK(server->open_connections() <= 2);
}

// Guards against the reuse of a connection on which each response belongs to the previous request.
TEST_CASE_METHOD(echo_fixture, "a response that belongs to another request closes its connection", "[http]") {
  const auto reject = [](const http_response& response) { return response.body != "wrong"; };
  const auto send = [&](const std::string& body) {
    http_request request{"POST", "/", {}, body};
    return asio::co_spawn(pool.context(0), client.Send(endpoint, request, milliseconds(2000), reject),
                          asio::use_future)
        .get();
  };
  const http_exchange wrong = send("wrong");
  CHECK(absl::IsDataLoss(wrong.status));
  CHECK(wrong.response.body.empty());
  CHECK(wrong.bytes_sent);
  // The server detects the closed connection asynchronously.
  for (int i = 0; i < 100 && server->open_connections() > 0; ++i)
    std::this_thread::sleep_for(milliseconds(20));
  CHECK(server->open_connections() == 0);
  CHECK(send("right").status.ok());
}

// Guards against reporting that a request may have run although none of its bytes was sent.
TEST_CASE_METHOD(echo_fixture, "a refused connection sends no bytes", "[http]") {
  endpoint = "127.0.0.1:1";
  const http_exchange exchange = Send({"POST", "/", {}, "x"});
  CHECK(absl::IsUnavailable(exchange.status));
  CHECK(exchange.ended_by_peer == peer_end::kRefused);
  CHECK_FALSE(exchange.bytes_sent);
}

}  // namespace
}  // namespace hickorystall::transport
