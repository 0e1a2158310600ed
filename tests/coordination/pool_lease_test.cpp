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

void RunToCompletion(asio::awaitable<void> task) {
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

constexpr milliseconds kLongTerm = std::chrono::hours(1);
// Shorter than any interval between two steps.
constexpr milliseconds kZeroTerm{0};

// Guards against a challenger taking over a pool although its owner renews.
TEST_CASE("a challenger does not act within the term", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLongTerm));
  pool_lease challenger(table, SettingsOf("b", kLongTerm));
  RunToCompletion(owner.Step());
  REQUIRE(owner.owns(pool_lease::clock::now()));
  for (int i = 0; i < 5; ++i) RunToCompletion(challenger.Step());
  CHECK_FALSE(challenger.holds_epoch());
}

// Guards against a challenger counting time from before it read the renewal.
TEST_CASE("a renewal between two reads of a challenger keeps the owner", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLongTerm));
  pool_lease challenger(table, SettingsOf("b", kZeroTerm));
  RunToCompletion(owner.Step());
  for (int i = 0; i < 5; ++i) {
    RunToCompletion(owner.Step());
    RunToCompletion(challenger.Step());
    CHECK_FALSE(challenger.holds_epoch());
  }
  RunToCompletion(challenger.Step());
  CHECK(challenger.holds_epoch());
}

// Guards against two owners: a write of the former owner must fail on the epoch row.
TEST_CASE("a former owner's renewal fails and it stops owning", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLongTerm));
  pool_lease challenger(table, SettingsOf("b", kZeroTerm));
  RunToCompletion(owner.Step());
  const protocol::table_condition former = owner.condition();
  RunToCompletion(challenger.Step());
  RunToCompletion(challenger.Step());
  REQUIRE(challenger.holds_epoch());
  CHECK(table.rows[former.key].version != former.version);
  RunToCompletion(owner.Step());
  CHECK_FALSE(owner.holds_epoch());
}

// Guards against a successor waiting for the end of the term of an owner that released the pool.
TEST_CASE("a released pool is acquired at the next read", "[pool_lease]") {
  fake_table table;
  pool_lease owner(table, SettingsOf("a", kLongTerm));
  pool_lease successor(table, SettingsOf("b", kLongTerm));
  RunToCompletion(owner.Step());
  RunToCompletion(owner.Release());
  CHECK_FALSE(owner.holds_epoch());
  RunToCompletion(successor.Step());
  CHECK(successor.owns(pool_lease::clock::now()));
  RunToCompletion(owner.Step());
  CHECK_FALSE(owner.holds_epoch());
}

// Guards against an acquisition being discarded because its reply was lost.
TEST_CASE("an acquisition whose reply was lost counts", "[pool_lease]") {
  fake_table table;
  table.lose_next_reply = true;
  pool_lease owner(table, SettingsOf("a", kLongTerm));
  RunToCompletion(owner.Step());
  REQUIRE(owner.holds_epoch());
  CHECK(owner.condition().version == table.rows[protocol::PoolEpochKey("p")].version);
}

}  // namespace
}  // namespace hickorystall::coordination
