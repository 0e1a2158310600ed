#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/harness/test_cluster.h"

namespace hickorystall::harness {

/// A standin-executor process that serves several executors.
class executor_group {
 public:
  /// Starts `count` executors that need `service_ms` for each request. The process ends with `cluster`.
  executor_group(test_cluster& cluster, int count, int service_ms);

  /// Ports of the executors on 127.0.0.1.
  const std::vector<int>& ports() const { return ports_; }
  /// Changes executor number `index`, from 0; "*" changes all. Throws std::runtime_error when refused.
  void Change(const std::string& index, const nlohmann::json& change) const;
  /// Returns how often each request body ran.
  std::map<std::string, int> RunsByBody() const;

 private:
  int control_port_;
  std::vector<int> ports_;
};

}  // namespace hickorystall::harness
