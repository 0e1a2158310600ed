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

/// Operator token of every server program of a test cluster.
inline constexpr const char* kOperatorToken = "operator-token";

/// The server programs of the system.
enum class role { kGateway, kScheduler, kAdmin };

/// Returns "gateway", "scheduler" or "admin", as in the names of programs and instances.
const char* RoleName(role value);

/// Size, topology and settings of a test cluster.
struct cluster_options {
  /// VMs that run the system, each with one instance of every role in `roles`.
  int vms = 3;
  std::vector<role> roles{role::kGateway, role::kScheduler, role::kAdmin};
  /// Failure domains, not empty. VMs are assigned to them in turn: VM 1 to the first, VM 2 to the second.
  std::vector<std::string> failure_domains{"fd-1", "fd-2", "fd-3"};
  std::string region = "region-1";
  /// Settings of every server program, merged over the harness's own (RFC 7396).
  nlohmann::json settings = nlohmann::json::object();
  /// Settings of the server programs of one role, merged over `settings`.
  std::map<role, nlohmann::json> role_settings;
  /// Delay after which the platform's VM list shows a change.
  std::chrono::milliseconds vm_lag{200};
  /// Routes all connections to the platform and between peers through the fault proxy.
  bool proxied = false;
};

/// One instance of a server program, running or not.
struct server_instance {
  /// Role and VM number, such as "gateway-1".
  std::string name;
  role server_role = role::kGateway;
  /// Port of the HTTP server on 127.0.0.1.
  int http_port = 0;
  /// Port of the socket for peer messages on 127.0.0.1.
  int peer_port = 0;
  /// Content of the settings file, written at each start. A test may change it before a start.
  nlohmann::json settings;
  /// The process of the last start; null before the first one.
  std::unique_ptr<process> program;
};

/// A stand-in platform and several VMs, each with one process of every role, on the loopback interface. The
/// destructor kills all processes and removes settings and logs. When the environment variable
/// HICKORYSTALL_KEEP_LOGS is set, it first copies them to a folder beside folder() whose name ends in
/// "-kept".
class test_cluster {
 public:
  /// Starts the platform, and with `proxied` the fault proxy. StartAll or Start start the instances.
  explicit test_cluster(cluster_options options = {});
  ~test_cluster();
  test_cluster(const test_cluster&) = delete;
  test_cluster& operator=(const test_cluster&) = delete;

  /// Starts every instance and waits until it accepts connections. Throws std::runtime_error with the log of
  /// the first that does not.
  void StartAll();
  /// Starts or restarts one instance and waits until it accepts connections. Throws std::runtime_error with
  /// its log when it does not. The instance must not be running.
  void Start(server_instance& instance);
  /// Waits until every running instance answers /ready with 200. Returns false after `timeout`.
  bool WaitReady(std::chrono::milliseconds timeout = std::chrono::seconds(10));
  /// Returns whether the instance answers /ready with 200 within 2 s.
  static bool IsReady(const server_instance& instance);

  /// All instances, ordered by VM.
  std::vector<std::unique_ptr<server_instance>>& instances() { return instances_; }
  /// The instance of `server_role` on VM number `vm`, from 1. Throws std::out_of_range when there is none.
  server_instance& Instance(role server_role, int vm);

  /// Applies the configuration document `text` as the next version and returns that version. It is sent to
  /// the API of an admin; when no started admin serves that API, it is written straight into the platform's
  /// table. Throws std::runtime_error when an admin refuses it or does not respond.
  std::int64_t ApplyConfig(const std::string& text);
  /// Writes the configuration document `text` into the platform's table as the next version, without
  /// validation, and returns that version.
  std::int64_t WriteConfigRows(const std::string& text);
  /// Waits until /ready of every running instance reports `version` or a later one. Returns false after
  /// `timeout`.
  bool WaitForVersion(std::int64_t version, std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Port of the platform on 127.0.0.1, which is reached without the fault proxy.
  int platform_port() const { return platform_port_; }
  /// Sends `body` to the platform's control API and returns the response.
  nlohmann::json ControlPlatform(const nlohmann::json& body);
  /// Returns the platform's mode and its counts of requests.
  nlohmann::json PlatformReport();
  /// Returns the value of the row `key` of the platform's table; empty when the row is absent.
  std::string ReadRow(const std::string& key);

  /// Adds a link to 127.0.0.1:`target_port` to the fault proxy and returns the port that it listens on.
  /// Requires `proxied`.
  int AddLink(const std::string& name, int target_port);
  /// Sends `body` to the fault proxy's control API and returns its report of all links. The links of an
  /// instance are named like "gateway-1>platform" and "peers>gateway-1". Throws std::runtime_error when the
  /// proxy refuses `body`.
  nlohmann::json ControlProxy(const nlohmann::json& body);

  /// Starts another program of the build folder, such as a stand-in. The cluster owns it and ends it after
  /// the instances.
  process& StartProgram(const std::string& program, const std::vector<std::string>& arguments,
                        const std::string& log_name);
  /// Folder of the settings files and logs.
  const std::filesystem::path& folder() const { return folder_.path(); }

 private:
  nlohmann::json MakeSettings(const server_instance& instance, int vm);
  void MakeInstances();

  const cluster_options options_;
  temporary_folder folder_;
  int platform_port_ = 0;
  int proxy_control_port_ = 0;
  // Ended in reverse order of their start.
  std::vector<std::unique_ptr<process>> support_programs_;
  std::vector<std::unique_ptr<server_instance>> instances_;
};

}  // namespace hickorystall::harness
