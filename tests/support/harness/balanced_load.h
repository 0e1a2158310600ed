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

/// What became of the requests of a load.
struct load_report {
  /// Requests that were sent, repetitions of refused ones excluded.
  std::int64_t requests = 0;
  /// Requests answered with 200.
  std::int64_t answered = 0;
  /// Refusals that said that the request did not run, after which it was sent elsewhere.
  std::int64_t refused = 0;
  /// Connections that were refused before anything was sent.
  std::int64_t not_connected = 0;
  /// Exchanges that broke off after the request was sent.
  std::int64_t interrupted = 0;
  /// Description of the answers that none of the counts above covers.
  std::vector<std::string> unexpected;
};

/// Callers behind a balancer: threads that send requests over keep-alive connections to the gateways that
/// answer /ready. A gateway's state is checked every 50 ms, as a balancer does.
class balanced_load {
 public:
  /// Makes request number `index`; the number is unique over all callers.
  using request_maker = std::function<transport::http_request(std::int64_t index)>;

  /// Starts `callers` threads that pause for up to `max_pause` between requests.
  balanced_load(std::vector<int> gateway_ports, int callers, std::chrono::milliseconds max_pause,
                request_maker make);
  ~balanced_load();
  balanced_load(const balanced_load&) = delete;
  balanced_load& operator=(const balanced_load&) = delete;

  /// Lets each caller complete its request and returns what happened.
  load_report Finish();
  /// Requests answered so far.
  std::int64_t answered() const;

 private:
  struct caller;
  void CheckReadiness();
  void RunCaller(int number);
  int ChooseGateway(std::int64_t turn) const;
  bool SendTo(test_connection& connection, const transport::http_request& request);

  const std::vector<int> ports_;
  const std::chrono::milliseconds max_pause_;
  const request_maker make_;
  std::vector<std::unique_ptr<std::atomic<bool>>> ready_;
  std::atomic<bool> stop_{false};
  std::atomic<std::int64_t> next_index_{0};
  mutable std::mutex mutex_;
  load_report report_;
  std::vector<std::thread> threads_;
};

}  // namespace hickorystall::harness
