#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {

/// One standin-executor process that simulates several executors.
class executor_group {
 public:
  /// Starts `count` executors that take `service_ms` milliseconds for each request. `cluster` owns the
  /// process and ends it. Throws std::runtime_error when its control port does not open within 20 s.
  executor_group(test_cluster& cluster, int count, int service_ms);

  /// Ports of the executors on 127.0.0.1, by index.
  const std::vector<int>& ports() const { return ports_; }
  /// Changes the simulated behavior of executor `index`, counted from 0, or of all executors for "*". Throws
  /// std::runtime_error when the process refuses the change.
  void Configure(const std::string& index, const nlohmann::json& change) const;
  /// Returns how many times each request body was executed, over all executors.
  std::map<std::string, int> RunsByBody() const;

 private:
  int control_port_;
  std::vector<int> ports_;
};

}  // namespace hickorystall::harness
