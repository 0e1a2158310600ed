#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/config_keeper.h"
#include "coordination/job_submission.h"
#include "coordination/request_router.h"
#include "state/metrics/request_metrics.h"
#include "transport/http_message.h"

namespace hickorystall::programs::gateway {

/// HTTP API for users of a workspace (docs/design.md, section 4.4). Thread-safe.
class gateway_api {
 public:
  /// The references must outlive the object.
  gateway_api(coordination::config_keeper& config, coordination::request_router& router,
              coordination::job_submission& jobs, state::request_metrics& metrics)
      : config_(config), router_(router), jobs_(jobs), metrics_(metrics) {}

  /// Authenticates and handles one request.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);

 private:
  // A request whose workspace token was verified.
  struct authenticated_request {
    transport::http_request http;
    coordination::config_keeper::config_ptr config;
    std::string workspace;
    // Percent-decoded remainder of the path after the path of the route.
    std::string path_suffix;
  };
  using handler = boost::asio::awaitable<transport::http_response> (gateway_api::*)(authenticated_request);
  struct route {
    std::string_view method;
    // A path that ends with '/' matches only the paths below it; the remainder is the path suffix.
    std::string_view path;
    handler handle;
  };
  static const route kRoutes[];

  boost::asio::awaitable<transport::http_response> RouteRequest(authenticated_request request);
  boost::asio::awaitable<transport::http_response> GetOutcome(authenticated_request request);
  boost::asio::awaitable<transport::http_response> SubmitJob(authenticated_request request);
  boost::asio::awaitable<transport::http_response> ListJobs(authenticated_request request);
  boost::asio::awaitable<transport::http_response> CancelJobs(authenticated_request request);
  boost::asio::awaitable<transport::http_response> GetJob(authenticated_request request);
  boost::asio::awaitable<transport::http_response> CancelJob(authenticated_request request);

  transport::http_response Refuse(const std::string& workspace, state::error_kind kind,
                                  std::string_view message, std::string_view outcome_url = {});
  transport::http_response MakeJobResponse(const std::string& workspace, coordination::job_result result);
  transport::http_response MakeRoutedResponse(const std::string& workspace,
                                              coordination::routed_result result);

  coordination::config_keeper& config_;
  coordination::request_router& router_;
  coordination::job_submission& jobs_;
  state::request_metrics& metrics_;
};

}  // namespace hickorystall::programs::gateway
