// Tests of table_feed: how old its knowledge is, and what it returns when the feed cannot be continued.
#include "coordination/pool/table_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "coordination/pool/memory_store.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr char kTable[] = "registry";

struct feed_fixture {
  feed_fixture() : log("feed-test"), feed(store, log, {kTable, {""}}) { Put("a"); }

  void Put(const std::string& key) { store.ApplyNow({{}, {{kTable, key, "{}"}}}); }
  void Remove(const std::string& key) { store.ApplyNow({{}, {{kTable, key, std::nullopt}}}); }
  void Run(std::function<asio::awaitable<void>()> work) {
    asio::co_spawn(loop, work, [](const std::exception_ptr& failure) {
      if (failure) std::rethrow_exception(failure);
    });
    loop.run();
  }

  memory_store store;
  event_log log;
  table_feed feed;
  asio::io_context loop;
};

}  // namespace

// Guards against an owner that cannot tell how old its picture is: a reply proves the state at the time at
// which it was requested, and an empty one that nothing changed during the wait.
TEST_CASE("a feed knows since when its rows are complete", "[pool]") {
  feed_fixture fixture;
  fixture.Run([&]() -> asio::awaitable<void> {
    const auto begin = BootNow();
    feed_update update = co_await fixture.feed.Next();
    CHECK(update.is_snapshot);
    CHECK(update.rows.size() == 1);
    CHECK(fixture.feed.fresh_at() >= begin);
    update = co_await fixture.feed.Next();
    CHECK(update.ok);
    CHECK(update.rows.empty());
    CHECK(BootNow() - fixture.feed.fresh_at() < milliseconds(200));
    fixture.store.silent_table = kTable;
    update = co_await fixture.feed.Next();
    CHECK_FALSE(update.ok);
    CHECK(BootNow() - fixture.feed.fresh_at() >= milliseconds(2000));
  });
}

// Guards against a worker that stays known after it left while the history of the store was gone.
TEST_CASE("a feed without history returns all rows anew", "[pool]") {
  feed_fixture fixture;
  fixture.Run([&]() -> asio::awaitable<void> {
    feed_update update = co_await fixture.feed.Next();
    fixture.Remove("a");
    fixture.Put("b");
    fixture.store.is_history_gone = true;
    update = co_await fixture.feed.Next();
    CHECK_FALSE(update.ok);
    update = co_await fixture.feed.Next();
    CHECK(update.is_snapshot);
    REQUIRE(update.rows.size() == 1);
    CHECK(update.rows[0].key == "b");
    fixture.store.is_history_gone = false;
    fixture.Put("c");
    update = co_await fixture.feed.Next();
    CHECK_FALSE(update.is_snapshot);
    REQUIRE(update.rows.size() == 1);
    CHECK(update.rows[0].key == "c");
  });
}

// Guards against a read that is behind: a worker that had left, or a job whose cancellation was known, would
// come back.
TEST_CASE("a feed refuses a snapshot that is older than its rows", "[pool]") {
  feed_fixture fixture;
  fixture.Run([&]() -> asio::awaitable<void> {
    feed_update update = co_await fixture.feed.Next();
    fixture.store.is_history_gone = true;
    update = co_await fixture.feed.Next();
    fixture.store.read_lag = 1;
    update = co_await fixture.feed.Next();
    CHECK_FALSE(update.ok);
    CHECK(update.rows.empty());
    fixture.store.read_lag = 0;
    update = co_await fixture.feed.Next();
    CHECK(update.ok);
    CHECK(update.is_snapshot);
  });
}

}  // namespace hickorystall::tests
