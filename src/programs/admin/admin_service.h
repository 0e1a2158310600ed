#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/config_store.h"
#include "programs/common/server_program.h"
#include "state/config/config_parser.h"
#include "transport/http_message.h"

namespace hickorystall::programs::admin {

/// HTTP API for operators (docs/design.md, section 4.5). Every path requires the operator token.
class admin_service {
 public:
  /// `program` must outlive the service.
  explicit admin_service(common::server_program& program);

  /// Handles one request. Runs on the event loop of its connection.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);

 private:
  using async_response = boost::asio::awaitable<transport::http_response>;

  // A method and path, and the function that handles them.
  struct route {
    std::string_view method;
    std::string_view path;
    async_response (admin_service::*handler)(const transport::http_request&);
  };
  // The accepted entry, or the reason why the change was not accepted.
  using accept_result = absl::StatusOr<coordination::config_entry>;

  static const std::vector<route>& Routes();

  async_response Validate(const transport::http_request& request);
  async_response DryRun(const transport::http_request& request);
  async_response Apply(const transport::http_request& request);
  async_response Show(const transport::http_request& request);
  async_response History(const transport::http_request& request);
  async_response Status(const transport::http_request& request);
  async_response SetDrained(const transport::http_request& request, std::string vm, bool drained);

  boost::asio::awaitable<accept_result> Accept(const transport::http_request& request, std::int64_t base,
                                               std::string body);
  // Distributes an accepted entry to the peers, waits for their confirmation and returns the response.
  async_response PublishAccepted(coordination::config_entry entry);
  boost::asio::awaitable<nlohmann::json> AwaitPeerConfirmation(std::int64_t version);
  boost::asio::awaitable<nlohmann::json> CheckQueuedJobs(const state::cluster_config& before,
                                                         const state::cluster_config& after);
  // Reads the newest version and its document from the store.
  boost::asio::awaitable<absl::StatusOr<state::versioned_config>> ReadNewestConfig();
  coordination::object_reader ObjectReader();
  coordination::object_writer ObjectWriter();

  common::server_program& program_;
};

}  // namespace hickorystall::programs::admin
