#pragma once

#include <absl/status/status.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/config_keeper.h"
#include "coordination/instance_directory.h"
#include "coordination/peer_mesh.h"
#include "programs/common/server_settings.h"
#include "protocol/table_client.h"
#include "transport/event_loop_pool.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace hickorystall::programs::common {

/// Base of every server program: event loops, HTTP server with the common paths (/live, /ready, /metrics and
/// /dump), platform clients, configuration, peer mesh and graceful shutdown.
class server_program {
 public:
  /// `prefix` is the role that peers see, such as "gateway", and the prefix of the log lines of this class.
  server_program(std::string prefix, server_settings settings);
  ~server_program();
  server_program(const server_program&) = delete;
  server_program& operator=(const server_program&) = delete;

  transport::event_loop_pool& event_loops() { return event_loops_; }
  transport::http_client& http() { return http_; }
  protocol::platform_client& platform() { return platform_; }
  coordination::config_keeper& config() { return config_; }
  coordination::peer_mesh& mesh() { return mesh_; }
  const server_settings& settings() const { return settings_; }

  /// Sets the handler of all paths other than the common ones. Call before Run.
  void SetHandler(transport::http_server::handler handle) { handle_ = std::move(handle); }
  /// Adds a condition that must hold for /ready. Call before Run.
  void AddReadiness(std::function<bool()> is_ready) { readiness_.push_back(std::move(is_ready)); }
  /// Adds a section called `name` to the state dump. Call before Run.
  void AddDump(std::string name, std::function<nlohmann::json()> dump);
  /// Sets the source of /metrics (Prometheus text format). Call before Run.
  void SetMetrics(std::function<std::string()> metrics) { metrics_ = std::move(metrics); }
  /// Adds an action of the graceful stop. Actions run in order after the requests in flight have completed or
  /// were cut off at the drain limit.
  void AddStopAction(std::function<void()> action) { stop_actions_.push_back(std::move(action)); }
  /// Adds a coroutine that Run starts on one of the event loops. It must return soon after stopping() becomes
  /// true.
  void AddTask(std::function<boost::asio::awaitable<void>()> task) { tasks_.push_back(std::move(task)); }

  /// True once a stop signal was received.
  bool stopping() const { return stopping_; }
  /// Returns true when the request carries the operator token.
  bool IsOperator(const transport::http_request& request) const;

  /// Serves until SIGTERM or SIGINT, stops gracefully and returns the exit status. Returns 1 when the HTTP
  /// server or the peer mesh does not start.
  int Run();

 private:
  boost::asio::awaitable<transport::http_response> Route(transport::http_request request);
  bool IsReady() const;
  void AddPeerTasks();
  nlohmann::json DumpPeers() const;
  transport::http_response HandleReady() const;
  transport::http_response HandleDump(const transport::http_request& request) const;
  void StopGracefully();

  const std::string prefix_;
  const server_settings settings_;
  transport::event_loop_pool event_loops_;
  transport::http_client http_;
  protocol::platform_client platform_;
  coordination::config_keeper config_;
  coordination::peer_mesh mesh_;
  coordination::instance_directory directory_;
  transport::http_server::handler handle_;
  std::vector<std::function<bool()>> readiness_;
  std::vector<std::pair<std::string, std::function<nlohmann::json()>>> dumps_;
  std::function<std::string()> metrics_;
  std::vector<std::function<void()>> stop_actions_;
  std::vector<std::function<boost::asio::awaitable<void>()>> tasks_;
  std::atomic<int> running_tasks_{0};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<transport::http_server> server_;
};

/// Implements main of a server program: parses the command line, reads the settings and sets up logging.
/// `parse` parses the settings and reports errors; `run` runs the program and returns its exit status.
template <typename Settings>
int RunServerProgram(int argc, char** argv, std::string_view name, std::string_view description,
                     Settings (*parse)(std::string_view text, std::vector<state::document_error>& errors),
                     int (*run)(Settings settings));

/// Initializes logging to standard error and ignores SIGPIPE.
void InitializeProcess(const char* program);

}  // namespace hickorystall::programs::common

#include "programs/common/server_program_main.h"
