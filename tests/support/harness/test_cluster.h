#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/support/harness/process.h"
#include "tests/support/harness/test_http.h"

namespace hickorystall::harness {

/// Operator token that every program of a test cluster accepts.
inline constexpr const char* kOperatorToken = "operator-token";

/// The server programs that every VM runs.
enum class role { kGateway, kScheduler, kAdmin };

/// Returns "gateway", "scheduler" or "admin".
const char* RoleName(role value);

/// What a test cluster consists of.
struct cluster_options {
  /// VMs that run the system, each with one instance of every role.
  int vms = 3;
  /// Roles to start on each VM.
  std::vector<role> roles{role::kGateway, role::kScheduler, role::kAdmin};
  /// Failure domains; VM number i is in number i modulo their count.
  std::vector<std::string> failure_domains{"fd-1", "fd-2", "fd-3"};
  /// Region of all VMs.
  std::string region = "region-1";
  /// Settings of every program, merged over the defaults of the harness (RFC 7396).
  nlohmann::json settings = nlohmann::json::object();
  /// Settings of the programs of one role, merged over `settings`.
  std::map<role, nlohmann::json> role_settings;
  /// Delay of the platform's VM list.
  std::chrono::milliseconds vm_lag{200};
  /// Puts every link to the platform and between peers through the fault proxy.
  bool proxied = false;
};

/// One instance of a server program.
struct server_instance {
  /// Name of the instance, such as "gateway-1".
  std::string name;
  /// Program that it runs.
  role runs = role::kGateway;
  /// Port of its HTTP server on 127.0.0.1.
  int http_port = 0;
  /// Port of its socket for peer messages.
  int peer_port = 0;
  /// Settings that it is started with.
  nlohmann::json settings;
  /// The running program; null before the start.
  std::unique_ptr<process> program;
};

/// A stand-in platform and several VMs, each with one process of every server program, on loopback. The
/// destructor kills everything that it started. Log files are kept when the environment variable
/// HICKORYSTALL_KEEP_LOGS is set.
class test_cluster {
 public:
  /// Starts the platform, and the fault proxy when asked for; the instances are started by StartAll or Start.
  explicit test_cluster(cluster_options options = {});
  ~test_cluster();
  test_cluster(const test_cluster&) = delete;
  test_cluster& operator=(const test_cluster&) = delete;

  /// Starts every instance and waits until each accepts connections. Throws std::runtime_error with the log
  /// of one that does not.
  void StartAll();
  /// Starts one instance, also again after its end, and waits until it accepts connections.
  void Start(server_instance& instance);
  /// Waits until every running instance answers /ready with 200.
  bool WaitReady(std::chrono::milliseconds timeout = std::chrono::seconds(10));
  /// True when the instance answers /ready with 200.
  static bool IsReady(const server_instance& instance);

  /// All instances, ordered by VM.
  std::vector<std::unique_ptr<server_instance>>& instances() { return instances_; }
  /// The instance of `runs` on VM number `vm`, from 1.
  server_instance& Instance(role runs, int vm);

  /// Applies the configuration document `text` as the next version and returns that version. It goes through
  /// an admin's API when one accepts it, else straight into the platform's table.
  std::int64_t ApplyConfig(const std::string& text);
  /// Writes the configuration into the platform's table, without validation.
  std::int64_t WriteConfigRows(const std::string& text);
  /// Waits until /ready of every running instance reports `version` or a higher one.
  bool WaitForVersion(std::int64_t version, std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Port of the platform itself, past the fault proxy.
  int platform_port() const { return platform_port_; }
  /// Sends `body` to the platform's control API and returns its report.
  nlohmann::json ControlPlatform(const nlohmann::json& body);
  /// Returns the platform's report: its mode and counts of requests.
  nlohmann::json PlatformReport();
  /// Returns the value of a row of the platform's table; empty when absent.
  std::string ReadRow(const std::string& key);

  /// Puts a link to 127.0.0.1:`target_port` through the fault proxy and returns the port to connect to.
  /// Needs `proxied`.
  int AddLink(const std::string& name, int target_port);
  /// Sends `body` to the fault proxy's control API and returns its report. Links of instances are named
  /// "gateway-1>platform" and "peers>gateway-1".
  nlohmann::json ControlProxy(const nlohmann::json& body);

  /// Starts another program of the build folder that ends with the cluster, such as a stand-in.
  process& StartProgram(const std::string& program, const std::vector<std::string>& arguments,
                        const std::string& log_name);
  /// Folder for settings and logs.
  const std::filesystem::path& folder() const { return folder_.path(); }

 private:
  nlohmann::json MakeSettings(const server_instance& instance, int vm);
  void MakeInstances();

  const cluster_options options_;
  temporary_folder folder_;
  int platform_port_ = 0;
  int proxy_control_port_ = 0;
  // The programs end in reverse order of their start.
  std::vector<std::unique_ptr<process>> support_programs_;
  std::vector<std::unique_ptr<server_instance>> instances_;
};

}  // namespace hickorystall::harness
