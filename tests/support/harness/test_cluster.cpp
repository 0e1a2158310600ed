#include "tests/support/harness/test_cluster.h"

#include <fstream>
#include <stdexcept>

#include "coordination/config_store.h"
#include "protocol/job_codec.h"
#include "protocol/token_hash.h"

namespace hickorystall::harness {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStartTimeout = std::chrono::seconds(20);

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

transport::http_request OperatorRequest(std::string method, std::string target, std::string body) {
  return {std::move(method),
          std::move(target),
          {{"Authorization", std::string("Bearer ") + kOperatorToken}, {"Content-Type", "application/json"}},
          std::move(body)};
}

}  // namespace

const char* RoleName(role value) {
  static constexpr const char* kNames[] = {"gateway", "scheduler", "admin"};
  return kNames[static_cast<int>(value)];
}

test_cluster::test_cluster(cluster_options options)
    : options_(std::move(options)), platform_port_(FreePort()) {
  StartProgram("standin-platform",
               {"--listen", Loopback(platform_port_), "--vm-lag-ms", std::to_string(options_.vm_lag.count())},
               "platform");
  if (!WaitForPort(platform_port_, kStartTimeout))
    throw std::runtime_error("standin-platform did not start listening");
  if (options_.proxied) {
    proxy_control_port_ = FreePort();
    StartProgram("fault-proxy", {"--control", Loopback(proxy_control_port_)}, "proxy");
    if (!WaitForPort(proxy_control_port_, kStartTimeout))
      throw std::runtime_error("fault-proxy did not open its control port");
  }
  MakeInstances();
}

test_cluster::~test_cluster() {
  instances_.clear();
  while (!support_programs_.empty()) support_programs_.pop_back();
  if (std::getenv("HICKORYSTALL_KEEP_LOGS") != nullptr) {
    const auto kept = folder_.path().string() + "-kept";
    std::filesystem::copy(folder_.path(), kept, std::filesystem::copy_options::recursive);
  }
}

void test_cluster::MakeInstances() {
  for (int vm = 1; vm <= options_.vms; ++vm) {
    for (const role server_role : options_.roles) {
      auto instance = std::make_unique<server_instance>();
      instance->name = std::string(RoleName(server_role)) + "-" + std::to_string(vm);
      instance->server_role = server_role;
      instance->http_port = FreePort();
      instance->peer_port = FreePort();
      instances_.push_back(std::move(instance));
    }
  }
  std::size_t index = 0;
  for (int vm = 1; vm <= options_.vms; ++vm) {
    for (std::size_t i = 0; i < options_.roles.size(); ++i, ++index) {
      instances_[index]->settings = MakeSettings(*instances_[index], vm);
    }
  }
}

json test_cluster::MakeSettings(const server_instance& instance, int vm) {
  const auto& domains = options_.failure_domains;
  json settings = {
      {"instance", instance.name},
      {"vm", "entry-" + std::to_string(vm)},
      {"failure_domain", domains[static_cast<std::size_t>(vm - 1) % domains.size()]},
      {"region", options_.region},
      {"listen", Loopback(instance.http_port)},
      {"platform", {{"endpoint", Loopback(platform_port_)}}},
      {"peer_listen", Loopback(instance.peer_port)},
      {"operator_token_sha256", protocol::Sha256Hex(kOperatorToken)},
      {"seeds", json::array()},
  };
  // Three seeds are enough to discover all peers.
  for (const auto& peer : instances_) {
    if (peer->name != instance.name && settings["seeds"].size() < 3) {
      settings["seeds"].push_back(Loopback(peer->peer_port));
    }
  }
  if (options_.proxied) {
    settings["platform"]["endpoint"] = Loopback(AddLink(instance.name + ">platform", platform_port_));
    settings["peer_advertise"] = Loopback(AddLink("peers>" + instance.name, instance.peer_port));
  }
  settings.merge_patch(options_.settings);
  if (const auto overrides = options_.role_settings.find(instance.server_role);
      overrides != options_.role_settings.end()) {
    settings.merge_patch(overrides->second);
  }
  return settings;
}

process& test_cluster::StartProgram(const std::string& program, const std::vector<std::string>& arguments,
                                    const std::string& log_name) {
  support_programs_.push_back(
      std::make_unique<process>(program, arguments, folder_.path() / (log_name + ".log")));
  return *support_programs_.back();
}

void test_cluster::Start(server_instance& instance) {
  const auto settings_path = folder_.path() / (instance.name + ".json");
  std::ofstream(settings_path) << instance.settings.dump(2) << "\n";
  instance.program = std::make_unique<process>(std::string("hickorystall-") + RoleName(instance.server_role),
                                               std::vector<std::string>{"--settings", settings_path.string()},
                                               folder_.path() / (instance.name + ".log"));
  const bool listens =
      WaitUntil(
          [&] { return !instance.program->IsRunning() || WaitForPort(instance.http_port, milliseconds(0)); },
          kStartTimeout) &&
      instance.program->IsRunning();
  if (!listens)
    throw std::runtime_error(instance.name + " did not start listening:\n" + instance.program->Log());
}

void test_cluster::StartAll() {
  for (auto& instance : instances_) Start(*instance);
}

bool test_cluster::IsReady(const server_instance& instance) {
  return SendOnce(instance.http_port, {"GET", "/ready", {}, ""}, milliseconds(2000)).status == 200;
}

bool test_cluster::WaitReady(milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (auto& instance : instances_) {
    if (instance->program == nullptr || !instance->program->IsRunning()) continue;
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    if (!WaitUntil([&] { return IsReady(*instance); }, remaining)) return false;
  }
  return true;
}

server_instance& test_cluster::Instance(role server_role, int vm) {
  const std::string name = std::string(RoleName(server_role)) + "-" + std::to_string(vm);
  for (auto& instance : instances_) {
    if (instance->name == name) return *instance;
  }
  throw std::out_of_range(name);
}

std::int64_t test_cluster::ApplyConfig(const std::string& text) {
  for (auto& instance : instances_) {
    if (instance->server_role != role::kAdmin || instance->program == nullptr) continue;
    const json head = json::parse(ReadRow(protocol::ConfigHeadKey()), nullptr, false);
    const std::int64_t base = head.is_object() ? head.value("version", std::int64_t{0}) : 0;
    const test_response response = SendOnce(
        instance->http_port, OperatorRequest("PUT", "/v1/config?base=" + std::to_string(base), text));
    if (response.status == 200) return base + 1;
    // With 404 this admin does not serve the configuration API; the next one may.
    if (response.status != 404)
      throw std::runtime_error("the admin refused the configuration: " + response.body + response.failure);
  }
  return WriteConfigRows(text);
}

std::int64_t test_cluster::WriteConfigRows(const std::string& text) {
  const json head = json::parse(ReadRow(protocol::ConfigHeadKey()), nullptr, false);
  const std::int64_t version = 1 + (head.is_object() ? head.value("version", std::int64_t{0}) : 0);
  coordination::config_entry entry;
  entry.version = version;
  entry.base = version - 1;
  entry.writer = "harness";
  entry.digest = protocol::Sha256Hex(text);
  entry.bytes = static_cast<std::int64_t>(text.size());
  entry.body = text;
  const json puts = {
      {{"key", protocol::ConfigVersionKey(version)}, {"value", coordination::EncodeConfigEntry(entry)}},
      {{"key", protocol::ConfigHeadKey()},
       {"value", json{{"version", version}, {"writer", "harness"}}.dump()}}};
  const test_response response =
      SendOnce(platform_port_, JsonRequest("POST", "/v1/transact", {{"puts", puts}}));
  if (response.status != 200)
    throw std::runtime_error("the platform refused the transaction: " + response.body);
  return version;
}

bool test_cluster::WaitForVersion(std::int64_t version, milliseconds timeout) {
  const auto has_version = [&](const server_instance& instance) {
    const json response = SendOnce(instance.http_port, {"GET", "/ready", {}, ""}, milliseconds(2000)).Json();
    return response.is_object() && response.value("config_version", std::int64_t{0}) >= version;
  };
  return WaitUntil(
      [&] {
        for (auto& instance : instances_) {
          const bool running = instance->program != nullptr && instance->program->IsRunning();
          if (running && !has_version(*instance)) return false;
        }
        return true;
      },
      timeout);
}

json test_cluster::ControlPlatform(const json& body) {
  return SendOnce(platform_port_, JsonRequest("POST", "/control", body)).Json();
}

json test_cluster::PlatformReport() { return SendOnce(platform_port_, {"GET", "/control", {}, ""}).Json(); }

std::string test_cluster::ReadRow(const std::string& key) {
  const json row =
      SendOnce(platform_port_, {"GET", "/v1/rows?key=" + transport::PercentEncode(key), {}, ""}).Json();
  return row.is_object() ? row.value("value", "") : "";
}

json test_cluster::ControlProxy(const json& body) {
  const test_response response = SendOnce(proxy_control_port_, JsonRequest("POST", "/control", body));
  if (response.status != 200) throw std::runtime_error("fault-proxy: " + response.body + response.failure);
  return response.Json();
}

int test_cluster::AddLink(const std::string& name, int target_port) {
  const int port = FreePort();
  ControlProxy({{"add", {{{"name", name}, {"listen", Loopback(port)}, {"target", Loopback(target_port)}}}}});
  return port;
}

}  // namespace hickorystall::harness
