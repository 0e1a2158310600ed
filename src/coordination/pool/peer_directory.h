#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Directory of the other VMs of the system. Each VM keeps a row with the address at which it serves relayed
/// calls. The list is kept while the store is unreachable, since calls are relayed in that case.
class peer_directory {
 public:
  /// `address` is where this VM, named `vm`, accepts relayed calls.
  peer_directory(pool_store& store, event_log& log, std::string vm, std::string address);

  /// Registers this VM and follows the others until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }
  /// Stops and removes the row of this VM.
  boost::asio::awaitable<void> Leave();

  /// Returns the addresses of the other VMs in the order in which to try them: those that failed recently
  /// come last.
  std::vector<std::string> Candidates();
  /// Records whether the VM at `address` decided a call. One that did not is tried last for some time.
  void HandleOutcome(const std::string& address, bool decided);

 private:
  struct peer {
    std::string address;
    // Time until which the peer is tried last.
    state::pool::boot_time avoided_until{};
  };
  boost::asio::awaitable<bool> Register();
  boost::asio::awaitable<bool> FollowOnce();
  void ApplyRow(const stored_row& row);

  pool_store& store_;
  event_log& log_;
  const std::string vm_;
  const std::string address_;
  std::map<std::string, peer> peers_;
  std::int64_t position_ = 0;
  bool is_loaded_ = false;
  bool is_registered_ = false;
  // Start of the rotation that spreads relayed calls over the peers.
  std::size_t next_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
