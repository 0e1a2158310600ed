// Checks that malformed replies of the store and of executors end as failed calls and never as exceptions.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include "executor_orders.h"
#include "protocol/error_response.h"
#include "table_store.h"
#include "transport/http_server.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// A server that answers each call with one status and body, and the clients under test.
struct reply_fixture {
  reply_fixture(int status, const std::string& body)
      : loops(1),
        server(
            loops, transport::http_server_settings{},
            [status, body](transport::http_request) -> asio::awaitable<transport::http_response> {
              co_return transport::JsonResponse(status, body);
            },
            protocol::MakeReadFailureResponse),
        client(loops, {}) {
    REQUIRE(server.Start().ok());
    loops.Start();
    endpoint = "127.0.0.1:" + std::to_string(server.port());
  }
  ~reply_fixture() { loops.Stop(); }

  template <typename T>
  T Wait(asio::awaitable<T> call) {
    return asio::co_spawn(loops.context(0), std::move(call), asio::use_future).get();
  }

  transport::event_loop_pool loops;
  transport::http_server server;
  transport::http_client client;
  std::string endpoint;
};

// Bodies that are not JSON, of another JSON type, or with fields of another type.
const std::vector<std::string> kMalformed{"",
                                          "\xff\xfe",
                                          "[1,2]",
                                          "null",
                                          R"({"clockMs":"x","reason":7,"running":5,"finished":{}})",
                                          R"({"clockMs":1,"running":[["t"]],"finished":[[1,2,3,4,5]]})",
                                          R"({"rowVersion":"x","rows":[{"key":5,"value":{},"deleted":3}]})"};

}  // namespace

// Guards against the loss of the ownership because of one malformed reply of an executor.
TEST_CASE("malformed replies of executors are failed calls", "[platform]") {
  const int status = GENERATE(200, 409, 421, 503);
  for (const std::string& body : kMalformed) {
    reply_fixture fixture(status, body);
    platform::executor_orders orders(fixture.client);
    const order_address address{fixture.endpoint, "i-1", 7};
    const state::pool::worker_time deadline{milliseconds(1000)};
    const order_reply start =
        fixture.Wait(orders.Start(address, "t.0.0.0", 1, "", "", deadline, milliseconds(1000)));
    CHECK(start.outcome != order_outcome::kFenced);
    if (status != 200) CHECK(start.outcome != order_outcome::kDone);
    const order_reply stop = fixture.Wait(orders.Stop(address, "t.0.0.0", 1, milliseconds(1000)));
    CHECK(stop.outcome != order_outcome::kFenced);
    const lists_reply lists =
        fixture.Wait(orders.Renew(address, 0, deadline, milliseconds(0), milliseconds(1000)));
    CHECK(lists.outcome != order_outcome::kDone);
  }
}

// Guards against a VM that never reads the store again after one malformed reply, and against a feed that
// starts over because a reply has no version.
TEST_CASE("malformed replies of the store are failed calls", "[platform]") {
  for (const std::string& body : kMalformed) {
    reply_fixture fixture(200, body);
    platform::table_store store(fixture.client, fixture.endpoint, true);
    const rows_result rows = fixture.Wait(store.ReadRange("t", "", "", "", milliseconds(1000)));
    CHECK(absl::IsUnavailable(rows.status));
    const rows_result feed = fixture.Wait(store.Follow("t", 5, milliseconds(0), milliseconds(1000)));
    CHECK(absl::IsUnavailable(feed.status));
    const transaction_result write =
        fixture.Wait(store.Apply({{}, {{"t", "k", "value"}}}, milliseconds(1000)));
    CHECK(write.outcome == transaction_outcome::kUnknown);
  }
}

}  // namespace hickorystall::tests
