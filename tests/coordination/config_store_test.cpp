#include "coordination/config_store.h"

#include <catch2/catch.hpp>
#include <map>

#include "coordination/fake_table.h"
#include "coordination/run_coroutine.h"
#include "protocol/job_codec.h"

namespace hickorystall::coordination {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

// In-memory table and object store.
struct fake_store {
  fake_table table;
  std::map<std::string, std::string> objects;

  object_writer Writer() {
    return [this](std::string name, std::string body) -> boost::asio::awaitable<absl::Status> {
      objects[name] = body;
      co_return absl::OkStatus();
    };
  }
  object_reader Reader() {
    return [this](std::string name) -> boost::asio::awaitable<absl::StatusOr<std::string>> {
      const auto found = objects.find(name);
      if (found == objects.end()) co_return absl::NotFoundError(name);
      co_return found->second;
    };
  }
  absl::StatusOr<config_entry> Accept(std::int64_t base, const std::string& body,
                                      const std::string& operation = "") {
    config_entry entry;
    entry.base = base;
    entry.body = body;
    entry.operation = operation;
    entry.operator_name = "ann";
    return RunCoroutine(AcceptConfig(table, Writer(), entry, kTimeout));
  }
  absl::StatusOr<std::string> Body(std::int64_t version) {
    return RunCoroutine(ReadConfigBody(table, Reader(), version));
  }
};

// Guards against an operator overwriting a change that the operator has not read.
TEST_CASE("a change based on an old version is refused", "[config_store]") {
  fake_store store;
  REQUIRE(store.Accept(0, "one").ok());
  CHECK(absl::IsAborted(store.Accept(0, "two").status()));
  const auto second = store.Accept(1, "two");
  REQUIRE(second.ok());
  CHECK(second->version == 2);
  CHECK(*store.Body(1) == "one");
  CHECK(*store.Body(2) == "two");
}

// Guards against both writers succeeding when both read the head before either wrote.
TEST_CASE("the loser of a race on the head row is refused", "[config_store]") {
  fake_store store;
  REQUIRE(store.Accept(0, "one").ok());
  store.table.before_transact = [&] { REQUIRE(store.Accept(1, "other").ok()); };
  CHECK(absl::IsAborted(store.Accept(1, "mine").status()));
  CHECK(*store.Body(2) == "other");
}

// Guards against reporting a change as failed although it is in force.
TEST_CASE("a lost reply is resolved by the version row", "[config_store]") {
  fake_store store;
  store.table.lose_next_reply = true;
  const auto accepted = store.Accept(0, "one");
  REQUIRE(accepted.ok());
  CHECK(accepted->version == 1);
  CHECK(store.table.commits == 1);
}

// Guards against a repeated request creating a second version or being refused because it conflicts with
// itself.
TEST_CASE("a repeated operation returns the version it created", "[config_store]") {
  fake_store store;
  REQUIRE(store.Accept(0, "one", "op-1").ok());
  const auto repeated = store.Accept(0, "one", "op-1");
  REQUIRE(repeated.ok());
  CHECK(repeated->version == 1);
  CHECK(store.table.commits == 1);
  CHECK(absl::IsAborted(store.Accept(0, "one", "op-2").status()));
}

TEST_CASE("a large document goes to the object store", "[config_store]") {
  fake_store store;
  const std::string large(kMaxInlineBodyBytes + 1, 'x');
  REQUIRE(store.Accept(0, large).ok());
  CHECK(store.objects.size() == 1);
  CHECK(store.table.rows[protocol::ConfigVersionKey(1)].value.size() < 1000);
  CHECK(*store.Body(1) == large);
  // Guards against a document that was altered in the object store taking effect.
  store.objects.begin()->second = "altered";
  CHECK(absl::IsDataLoss(store.Body(1).status()));
}

TEST_CASE("history lists the newest entries first", "[config_store]") {
  fake_store store;
  for (int base = 0; base < 5; ++base) REQUIRE(store.Accept(base, "text").ok());
  const auto history = RunCoroutine(ReadConfigHistory(store.table, 3));
  REQUIRE(history.ok());
  REQUIRE(history->size() == 3);
  CHECK(history->at(0).version == 5);
  CHECK(history->at(0).base == 4);
  CHECK(history->at(2).operator_name == "ann");
}

TEST_CASE("nothing is accepted while the store is down", "[config_store]") {
  fake_store store;
  store.table.down = true;
  CHECK(absl::IsUnavailable(store.Accept(0, "one").status()));
  store.table.down = false;
  CHECK(store.table.commits == 0);
}

}  // namespace
}  // namespace hickorystall::coordination
