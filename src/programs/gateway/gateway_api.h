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

/// The callers' HTTP interface (docs/design.md, section 4.4). Thread-safe.
class gateway_api {
 public:
  /// The references must outlive the object.
  gateway_api(coordination::config_keeper& config, coordination::request_router& router,
              coordination::job_submission& jobs, state::request_metrics& metrics)
      : config_(config), router_(router), jobs_(jobs), metrics_(metrics) {}

  /// Answers one request.
  boost::asio::awaitable<transport::http_response> Answer(transport::http_request request);

 private:
  // A request whose caller was authenticated.
  struct caller_request {
    transport::http_request http;
    coordination::config_keeper::config_ptr config;
    std::string workspace;
    // Rest of the path behind the part that chose the handler.
    std::string tail;
  };
  using handler = boost::asio::awaitable<transport::http_response> (gateway_api::*)(caller_request);
  struct route {
    std::string_view method;
    // A path that ends with '/' also matches everything below it, as the tail.
    std::string_view path;
    handler handle;
  };
  static const route kRoutes[];

  boost::asio::awaitable<transport::http_response> RouteRequest(caller_request request);
  boost::asio::awaitable<transport::http_response> ShowOutcome(caller_request request);
  boost::asio::awaitable<transport::http_response> SubmitJob(caller_request request);
  boost::asio::awaitable<transport::http_response> ListJobs(caller_request request);
  boost::asio::awaitable<transport::http_response> CancelJobs(caller_request request);
  boost::asio::awaitable<transport::http_response> ShowJob(caller_request request);
  boost::asio::awaitable<transport::http_response> CancelJob(caller_request request);

  transport::http_response Refuse(const std::string& workspace, state::error_kind kind,
                                  std::string_view message, std::string_view outcome_url = {});
  transport::http_response AnswerJob(const std::string& workspace, coordination::job_result result);
  transport::http_response AnswerRouted(const std::string& workspace, coordination::routed_result result);

  coordination::config_keeper& config_;
  coordination::request_router& router_;
  coordination::job_submission& jobs_;
  state::request_metrics& metrics_;
};

}  // namespace hickorystall::programs::gateway
