#include "coordination/pool/relay_peer.h"

#include <catch2/catch.hpp>

#include "protocol/error_response.h"
#include "transport/async_event.h"

namespace hickorystall::tests {

std::unique_ptr<transport::http_server> MakeRelayPeer(transport::event_loop_pool& event_loops, int status) {
  auto server = std::make_unique<transport::http_server>(
      event_loops, transport::http_server_settings{},
      [status](transport::http_request) -> boost::asio::awaitable<transport::http_response> {
        if (status == 0) co_await transport::Sleep(std::chrono::seconds(2));
        co_return transport::JsonResponse(status == 0 ? 200 : status, "{}");
      },
      protocol::MakeReadFailureResponse);
  REQUIRE(server->Start().ok());
  return server;
}

}  // namespace hickorystall::tests
