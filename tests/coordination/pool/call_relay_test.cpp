#include "coordination/pool/call_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <future>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/pool_tables.h"
#include "coordination/pool/relay_peer.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

relay_outcome RelayTo(const std::vector<int>& statuses) {
  transport::event_loop_pool event_loops(1);
  std::vector<std::unique_ptr<transport::http_server>> servers;
  memory_store store;
  store_transaction rows;
  for (const int status : statuses) {
    servers.push_back(MakeRelayPeer(event_loops, status));
    rows.changes.push_back({kVmsTable, "vm-" + std::to_string(servers.size()),
                            "127.0.0.1:" + std::to_string(servers.back()->port())});
  }
  store.ApplyNow(rows);
  static event_log log("relay-test");
  transport::http_client client(event_loops, {});
  // The length of this VM's name, modulo the number of peers, selects the peer that is tried first: here the
  // first one in each case.
  peer_directory peers(store, log, {statuses.size() == 3 ? "own" : "xx", "127.0.0.1:1", 1.0});
  call_relay relay(client, peers);
  std::promise<relay_outcome> outcome;
  asio::co_spawn(
      event_loops.context(0),
      [&]() -> asio::awaitable<void> {
        asio::co_spawn(event_loops.context(0), peers.Run(), [](const std::exception_ptr&) {});
        co_await transport::Sleep(milliseconds(100));
        transport::http_request request;
        request.method = "POST";
        relay_outcome result =
            co_await relay.Relay(std::move(request), transport::BootNow() + std::chrono::seconds(3));
        peers.Stop();
        outcome.set_value(std::move(result));
      },
      [](const std::exception_ptr&) {});
  event_loops.Start();
  relay_outcome result = outcome.get_future().get();
  event_loops.Stop();
  return result;
}

}  // namespace

TEST_CASE("the first VM that decides a relayed call provides the response", "[pool]") {
  const relay_outcome outcome = RelayTo({503, 503, 200});
  REQUIRE(outcome.response.has_value());
  CHECK(outcome.response->status == 200);
}

// Guards against a "did not run" response while an unresponsive VM may have stored the job: with a slow
// store, clients received status 503 although their jobs ran.
TEST_CASE("a VM that does not respond makes the outcome unknown", "[pool]") {
  const relay_outcome outcome = RelayTo({0, 0});
  CHECK_FALSE(outcome.response.has_value());
  CHECK(outcome.outcome_unknown);
}

TEST_CASE("after refusals by all VMs the outcome is known", "[pool]") {
  const relay_outcome outcome = RelayTo({503, 503});
  CHECK_FALSE(outcome.response.has_value());
  CHECK_FALSE(outcome.outcome_unknown);
}

}  // namespace hickorystall::tests
