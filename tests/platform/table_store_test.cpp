// Checks the requests that table_store sends, against a server that records the last one.
#include "table_store.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>

#include "protocol/error_response.h"
#include "transport/http_server.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

// Returns the body of the request that `transaction` is sent as.
json Send(store_transaction transaction, bool spans_partitions) {
  transport::event_loop_pool event_loops(1);
  std::string body;
  transport::http_server server(
      event_loops, transport::http_server_settings{},
      [&body](transport::http_request request) -> asio::awaitable<transport::http_response> {
        body = request.body;
        co_return transport::JsonResponse(200, R"({"rowVersion":7})");
      },
      protocol::MakeReadFailureResponse);
  REQUIRE(server.Start().ok());
  transport::http_client client(event_loops, {});
  platform::table_store store(client, "127.0.0.1:" + std::to_string(server.port()), spans_partitions);
  std::promise<transaction_result> done;
  asio::co_spawn(
      event_loops.context(0),
      [&]() -> asio::awaitable<void> {
        transaction_result result = co_await store.Apply(transaction, std::chrono::seconds(2));
        done.set_value(std::move(result));
      },
      [](const std::exception_ptr&) {});
  event_loops.Start();
  const transaction_result result = done.get_future().get();
  CHECK(result.outcome == transaction_outcome::kDone);
  CHECK(result.version == 7);
  event_loops.Stop();
  return json::parse(body);
}

store_transaction TwoPartitions() {
  return {{{"t", "k", 3, "p"}},
          {{"t", "k", "value", "p"}, {"t", "k", "value", "q"}, {"t", "gone", std::nullopt, "p"}}};
}

}  // namespace

// Guards against a transaction that the store refuses because its rows are in several partitions and the
// request does not declare it.
TEST_CASE("a transaction over several partitions declares it", "[pool]") {
  const json body = Send(TwoPartitions(), true);
  CHECK(body.at("across") == true);
  CHECK(body.at("precondition")[0] == json{{"table", "t"}, {"part", "p"}, {"key", "k"}, {"rowVersion", 3}});
  CHECK(body.at("write").size() == 2);
  CHECK(body.at("write")[0].at("value") == "dmFsdWU=");
  CHECK(body.at("remove")[0].at("key") == "gone");
  store_transaction one = TwoPartitions();
  one.changes.erase(one.changes.begin() + 1);
  CHECK_FALSE(Send(one, true).contains("across"));
}

// Guards against a system in which no VM can become the owner, on a platform whose transactions cover only
// one partition.
TEST_CASE("all rows use one partition when transactions cannot span several", "[pool]") {
  const json body = Send(TwoPartitions(), false);
  CHECK_FALSE(body.contains("across"));
  REQUIRE(body.at("write").size() == 1);
  CHECK(body.at("write")[0].at("part").get<std::string>().empty());
  CHECK(body.at("precondition")[0].at("part").get<std::string>().empty());
}

}  // namespace hickorystall::tests
