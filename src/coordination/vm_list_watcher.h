#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>

#include "coordination/request_router_slots.h"
#include "protocol/executor_client.h"
#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// Keeps the router's knowledge of leaving targets up to date: polls the platform's VM list, and asks targets
/// that refused work as leaving whether they serve again.
class vm_list_watcher {
 public:
  /// The references must outlive the watcher.
  vm_list_watcher(protocol::platform_client& platform, protocol::executor_client& executors,
                  request_router_slots& slots, std::chrono::milliseconds interval)
      : platform_(platform), executors_(executors), slots_(slots), interval_(interval) {}

  /// Polls the VM list until `stop` returns true.
  boost::asio::awaitable<void> WatchList(std::function<bool()> stop);
  /// Asks targets that said that they are leaving until `stop` returns true. A loop of its own, so that
  /// targets that do not answer cannot delay the VM list.
  boost::asio::awaitable<void> WatchReportedLeaving(std::function<bool()> stop);

 private:
  protocol::platform_client& platform_;
  protocol::executor_client& executors_;
  request_router_slots& slots_;
  const std::chrono::milliseconds interval_;
};

}  // namespace hickorystall::coordination
