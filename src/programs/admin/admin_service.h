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

/// The operators' API (docs/design.md, section 4.5). Every path needs the operator token.
class admin_service {
 public:
  /// `program` must outlive the service.
  explicit admin_service(common::server_program& program);

  /// Answers one request. Runs on the loop of its connection.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);

 private:
  using response = boost::asio::awaitable<transport::http_response>;

  // A path and the function that answers it.
  struct route {
    std::string_view method;
    std::string_view path;
    response (admin_service::*answer)(const transport::http_request&);
  };
  // Result of a change: the accepted entry or the answer that refuses it.
  using accepted = absl::StatusOr<coordination::config_entry>;

  static const std::vector<route>& Routes();

  response Validate(const transport::http_request& request);
  response DryRun(const transport::http_request& request);
  response Apply(const transport::http_request& request);
  response Show(const transport::http_request& request);
  response History(const transport::http_request& request);
  response Status(const transport::http_request& request);
  response SetDrained(const transport::http_request& request, std::string vm, bool drained);

  boost::asio::awaitable<accepted> Accept(const transport::http_request& request, std::int64_t base,
                                          std::string body);
  response AnswerAccepted(coordination::config_entry entry);
  boost::asio::awaitable<nlohmann::json> ConfirmByPeers(std::int64_t version);
  boost::asio::awaitable<nlohmann::json> CheckQueuedJobs(const state::cluster_config& before,
                                                         const state::cluster_config& after);
  /// Newest version and its document from the table.
  boost::asio::awaitable<absl::StatusOr<state::versioned_config>> ReadNewest();
  coordination::object_reader ObjectReader();
  coordination::object_writer ObjectWriter();

  common::server_program& program_;
};

}  // namespace hickorystall::programs::admin
