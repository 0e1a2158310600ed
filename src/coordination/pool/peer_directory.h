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
  /// Name, address and CPU limit of a VM.
  struct vm_info {
    std::string name;
    /// "ip:port" for relayed calls.
    std::string address;
    /// Share of one core.
    double cpu_share = 0;
  };

  /// `self` describes this VM.
  peer_directory(pool_store& store, event_log& log, vm_info self);

  /// Registers this VM and follows the others until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }
  /// Stops and removes the row of this VM.
  boost::asio::awaitable<void> Leave();

  /// Returns the addresses of the other VMs in the order in which to try them: those that failed recently
  /// come last.
  std::vector<std::string> Candidates();
  /// Returns the other VMs that have clearly more CPU than this one, the strongest first.
  std::vector<vm_info> StrongerVms() const;
  /// Records whether the VM at `address` decided a call. One that did not is tried last for some time.
  void HandleOutcome(const std::string& address, bool decided);

 private:
  struct peer {
    vm_info info;
    // Time until which the peer is tried last.
    state::pool::boot_time avoided_until{};
  };
  boost::asio::awaitable<bool> Register();
  boost::asio::awaitable<bool> FollowOnce();
  void ApplyRow(const stored_row& row);

  pool_store& store_;
  event_log& log_;
  const vm_info self_;
  std::map<std::string, peer> peers_;
  std::int64_t position_ = 0;
  bool is_loaded_ = false;
  bool is_registered_ = false;
  // Start of the rotation that spreads relayed calls over the peers.
  std::size_t next_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
