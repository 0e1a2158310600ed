#include "tests/support/harness/executor_group.h"

#include <stdexcept>

namespace hickorystall::harness {

executor_group::executor_group(test_cluster& cluster, int count, int service_ms) : control_port_(FreePort()) {
  std::vector<std::string> arguments{"--control", "127.0.0.1:" + std::to_string(control_port_),
                                     "--service-ms", std::to_string(service_ms)};
  for (int i = 0; i < count; ++i) {
    ports_.push_back(FreePort());
    arguments.emplace_back("--listen");
    arguments.push_back("127.0.0.1:" + std::to_string(ports_.back()));
  }
  cluster.StartProgram("standin-executor", arguments, "executors");
  if (!WaitForPort(control_port_, std::chrono::seconds(20))) {
    throw std::runtime_error("standin-executor did not open its control port");
  }
}

void executor_group::Configure(const std::string& index, const nlohmann::json& change) const {
  const test_response response =
      SendOnce(control_port_, JsonRequest("POST", "/control/executors/" + index, change));
  if (response.status != 200)
    throw std::runtime_error("standin-executor refused the change " + change.dump());
}

std::map<std::string, int> executor_group::RunsByBody() const {
  const nlohmann::json log = SendOnce(control_port_, {"GET", "/control/log", {}, ""}).Json();
  std::map<std::string, int> runs;
  for (const nlohmann::json& entry : log.at("entries")) ++runs[entry.at("body").get<std::string>()];
  return runs;
}

}  // namespace hickorystall::harness
