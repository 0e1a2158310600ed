#include "coordination/pool_lease.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "coordination/fake_table.h"
#include "protocol/job_codec.h"

namespace hickorystall::coordination {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

void RunNow(asio::awaitable<void> task) {
  asio::io_context context;
  asio::co_spawn(context, std::move(task), asio::detached);
  context.run();
}

pool_lease_settings SettingsOf(const std::string& instance, milliseconds term) {
  pool_lease_settings settings;
  settings.pool = "p";
  settings.instance = instance;
  settings.term = term;
  settings.margin = milliseconds(0);
  return settings;
}

constexpr milliseconds kLong = std::chrono::hours(1);
// Shorter than any interval between two steps.
constexpr milliseconds kElapsed{0};

// Guards against a challenger that takes a pool over although its owner renews.
TEST_CASE("a challenger does not act within the term", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLong));
  pool_lease challenger(table, SettingsOf("b", kLong));
  RunNow(owner.Step());
  REQUIRE(owner.owns(pool_lease::clock::now()));
  for (int i = 0; i < 5; ++i) RunNow(challenger.Step());
  CHECK_FALSE(challenger.holds_epoch());
}

// Guards against a challenger that counts the time before it saw the renewal.
TEST_CASE("a renewal between two looks of a challenger keeps the owner", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLong));
  pool_lease challenger(table, SettingsOf("b", kElapsed));
  RunNow(owner.Step());
  for (int i = 0; i < 5; ++i) {
    RunNow(owner.Step());
    RunNow(challenger.Step());
    CHECK_FALSE(challenger.holds_epoch());
  }
  RunNow(challenger.Step());
  CHECK(challenger.holds_epoch());
}

// Guards against two owners: a write of the former owner must fail on the epoch row.
TEST_CASE("a former owner's renewal fails and it stops owning", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLong));
  pool_lease challenger(table, SettingsOf("b", kElapsed));
  RunNow(owner.Step());
  const protocol::table_condition former = owner.condition();
  RunNow(challenger.Step());
  RunNow(challenger.Step());
  REQUIRE(challenger.holds_epoch());
  CHECK(table.rows[former.key].version != former.version);
  RunNow(owner.Step());
  CHECK_FALSE(owner.holds_epoch());
}

// Guards against a successor that waits out the term of an owner that gave the pool up.
TEST_CASE("a released pool is taken at the next look", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLong));
  pool_lease successor(table, SettingsOf("b", kLong));
  RunNow(owner.Step());
  RunNow(owner.Release());
  CHECK_FALSE(owner.holds_epoch());
  RunNow(successor.Step());
  CHECK(successor.owns(pool_lease::clock::now()));
  RunNow(owner.Step());
  CHECK_FALSE(owner.holds_epoch());
}

// Guards against an acquisition that is forgotten because its reply was lost.
TEST_CASE("an acquisition whose reply was lost counts", "[pool_lease]") {
  fake_table table;
  table.lose_next_reply = true;
  pool_lease owner(table, SettingsOf("a", kLong));
  RunNow(owner.Step());
  REQUIRE(owner.holds_epoch());
  CHECK(owner.condition().version == table.rows[protocol::PoolEpochKey("p")].version);
}

}  // namespace
}  // namespace hickorystall::coordination
