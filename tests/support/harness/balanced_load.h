#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {

/// Counts of what happened to the requests of a load.
struct load_report {
  /// Requests sent; a refused request that is sent again counts once.
  std::int64_t requests = 0;
  /// Requests that received status 200.
  std::int64_t answered = 0;
  /// Error responses with "ran": "no", after which the request was sent again, to another gateway if one was
  /// ready.
  std::int64_t refused = 0;
  /// Connection attempts that failed before any byte was sent.
  std::int64_t not_connected = 0;
  /// Exchanges that failed without a whole response after the request may have been sent.
  std::int64_t interrupted = 0;
  /// Status and body of each response that none of the counts above covers.
  std::vector<std::string> unexpected;
};

/// Simulates clients behind a load balancer: threads that send requests over keep-alive connections to the
/// gateways that answer /ready with 200. Every gateway is probed again 50 ms after the last round of probes.
class balanced_load {
 public:
  /// Makes request number `index`, counted from 0 over all callers. Called by several threads at once.
  using request_maker = std::function<transport::http_request(std::int64_t index)>;

  /// Starts `callers` threads that pause for up to `max_pause` between requests.
  balanced_load(std::vector<int> gateway_ports, int callers, std::chrono::milliseconds max_pause,
                request_maker make_request);
  ~balanced_load();
  balanced_load(const balanced_load&) = delete;
  balanced_load& operator=(const balanced_load&) = delete;

  /// Waits until each caller has completed its current request, stops all threads and returns the counts.
  load_report Finish();
  /// Requests that have received status 200 so far.
  std::int64_t answered() const;

 private:
  struct caller;
  void CheckReadiness();
  void RunCaller(int number);
  int ChooseGateway(std::int64_t turn) const;
  bool SendTo(test_connection& connection, const transport::http_request& request);

  const std::vector<int> ports_;
  const std::chrono::milliseconds max_pause_;
  const request_maker make_request_;
  std::vector<std::unique_ptr<std::atomic<bool>>> ready_;
  std::atomic<bool> stop_{false};
  std::atomic<std::int64_t> next_index_{0};
  mutable std::mutex mutex_;
  load_report report_;
  std::vector<std::thread> threads_;
};

}  // namespace hickorystall::harness
