#include "tests/support/harness/test_config.h"

#include "protocol/token_hash.h"

namespace hickorystall::harness {

using nlohmann::json;

namespace {

constexpr int kFailureDomains = 3;
constexpr int kWorkersPerRack = 2;

std::string NumberedName(const char* name, std::size_t index) {
  std::string text(name);
  text += std::to_string(index + 1);
  return text;
}

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string WorkspaceToken(const std::string& workspace) { return workspace + "-token"; }

json MakeWorkspace(const std::string& name) {
  return {{"name", name}, {"token_sha256", protocol::Sha256Hex(WorkspaceToken(name))}};
}

json MakeKinds() {
  return {{{"name", "quote_check"},
           {"kind", "request"},
           {"idempotent", true},
           {"may_wait", false},
           {"priority", "urgent"},
           {"timeout_ms", 10000}},
          {{"name", "order"},
           {"kind", "request"},
           {"idempotent", false},
           {"may_wait", false},
           {"priority", "urgent"},
           {"timeout_ms", 10000}},
          {{"name", "matching_run"}, {"kind", "job"}, {"priority", "normal"}},
          {{"name", "restock_forecast"}, {"kind", "job"}, {"priority", "patient"}}};
}

}  // namespace

json MakeConfig(const config_targets& targets) {
  json domains = json::array();
  json racks = json::array();
  json vms = json::array();
  for (std::size_t i = 0; i < kFailureDomains; ++i) {
    domains.push_back(NumberedName("fd-", i));
    racks.push_back({{"name", NumberedName("executors-", i)}, {"failure_domain", NumberedName("fd-", i)}});
  }
  for (std::size_t i = 0; i < targets.executor_ports.size(); ++i) {
    vms.push_back({{"name", NumberedName("executor-", i)},
                   {"address", LoopbackAddress(targets.executor_ports[i])},
                   {"rack", NumberedName("executors-", i % kFailureDomains)},
                   {"kind", "executor"}});
  }
  for (std::size_t i = 0; i < targets.worker_ports.size(); ++i) {
    const std::size_t rack = i / kWorkersPerRack;
    if (i % kWorkersPerRack == 0) {
      racks.push_back({{"name", NumberedName("rack-", rack)},
                       {"failure_domain", NumberedName("fd-", rack % kFailureDomains)}});
    }
    vms.push_back({{"name", NumberedName("worker-", i)},
                   {"address", LoopbackAddress(targets.worker_ports[i])},
                   {"rack", NumberedName("rack-", rack)},
                   {"kind", "worker"},
                   {"processors", 128},
                   {"memory_mib", 262144},
                   {"accelerators", targets.accelerators}});
  }
  return {{"inventory",
           {{"failure_domains", domains},
            {"racks", racks},
            {"vms", vms},
            {"workspaces", {MakeWorkspace("counter"), MakeWorkspace("matching")}}}},
          {"rules", {{"kinds", MakeKinds()}}}};
}

transport::http_request CallerRequest(const std::string& workspace, std::string method, std::string target,
                                      std::string body, const std::string& idempotency_key) {
  transport::http_request request{
      std::move(method),
      std::move(target),
      {{"Authorization", "Bearer " + WorkspaceToken(workspace)}, {"X-Workspace", workspace}},
      std::move(body)};
  if (!idempotency_key.empty()) request.headers.emplace_back("Idempotency-Key", idempotency_key);
  return request;
}

}  // namespace hickorystall::harness
