#include "coordination/vm_list_watcher.h"

#include <set>

#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kHealthTimeout{500};

}  // namespace

asio::awaitable<void> vm_list_watcher::WatchList(std::function<bool()> stop) {
  while (!stop()) {
    const absl::StatusOr<std::vector<std::string>> leaving = co_await platform_.LeavingVms();
    // While the list cannot be read, the last one remains in effect.
    if (leaving.ok()) slots_.SetListedLeaving(std::set<std::string>(leaving->begin(), leaving->end()));
    co_await transport::Sleep(interval_);
  }
}

asio::awaitable<void> vm_list_watcher::WatchReportedLeaving(std::function<bool()> stop) {
  while (!stop()) {
    for (const state::chosen_target& target : slots_.ReportedLeaving()) {
      if (co_await executors_.IsServing(target.address, kHealthTimeout)) slots_.RecordServing(target);
    }
    co_await transport::Sleep(interval_);
  }
}

}  // namespace hickorystall::coordination
