#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>

#include "coordination/request_router_slots.h"
#include "protocol/executor_client.h"
#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// Keeps the router informed of leaving targets: polls the platform's VM list, and checks whether targets
/// that refused work because they were leaving serve again.
class vm_list_watcher {
 public:
  /// The references must outlive the watcher.
  vm_list_watcher(protocol::platform_client& platform, protocol::executor_client& executors,
                  request_router_slots& slots, std::chrono::milliseconds interval)
      : platform_(platform), executors_(executors), slots_(slots), interval_(interval) {}

  /// Polls the VM list until `stop` returns true.
  boost::asio::awaitable<void> WatchList(std::function<bool()> stop);
  /// Checks targets that reported that they are leaving until `stop` returns true. This is a separate loop,
  /// so that unresponsive targets cannot delay the VM list.
  boost::asio::awaitable<void> WatchReportedLeaving(std::function<bool()> stop);

 private:
  protocol::platform_client& platform_;
  protocol::executor_client& executors_;
  request_router_slots& slots_;
  const std::chrono::milliseconds interval_;
};

}  // namespace hickorystall::coordination
