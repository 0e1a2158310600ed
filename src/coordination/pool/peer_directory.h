#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Knows the other VMs of the system. Each VM keeps a row with the address at which it serves calls that
/// others relay to it. The list is kept while the store is out of reach: that is when it is needed.
class peer_directory {
 public:
  /// `address` is where this VM, called `vm`, takes relayed calls.
  peer_directory(pool_store& store, event_log& log, std::string vm, std::string address);

  /// Registers this VM and follows the others until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }
  /// Removes the row of this VM.
  boost::asio::awaitable<void> Leave();

  /// Addresses of other VMs in the order in which they should be tried: those that failed last come last.
  std::vector<std::string> Candidates();
  /// Takes in whether a call to `address` was answered.
  void TakeOutcome(const std::string& address, bool answered);

 private:
  struct peer {
    std::string address;
    // Until when the peer is tried last.
    state::pool::boot_time avoided_until{};
  };
  boost::asio::awaitable<bool> Register();
  boost::asio::awaitable<bool> FollowOnce();
  void TakeRow(const stored_row& row);

  pool_store& store_;
  event_log& log_;
  const std::string vm_;
  const std::string address_;
  std::map<std::string, peer> peers_;
  std::int64_t position_ = 0;
  bool is_known_ = false;
  bool is_registered_ = false;
  // Spreads relayed calls over the peers.
  std::size_t next_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
