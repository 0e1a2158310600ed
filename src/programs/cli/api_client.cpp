#include "programs/cli/api_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>
#include <utility>

namespace hickorystall::programs::cli {
namespace {

constexpr int kMaxAttempts = 3;
constexpr std::chrono::milliseconds kRetryDelay{200};

}  // namespace

api_client::api_client(connection_options options)
    : options_(std::move(options)), event_loops_(1), http_(event_loops_, {}) {
  event_loops_.Start();
}

transport::http_exchange api_client::Send(transport::http_request request) {
  request.headers.emplace_back("Authorization", "Bearer " + options_.token);
  if (!options_.workspace.empty()) request.headers.emplace_back("X-Workspace", options_.workspace);
  if (!options_.operator_name.empty()) request.headers.emplace_back("X-Operator", options_.operator_name);
  return boost::asio::co_spawn(event_loops_.context(0),
                               http_.Send(options_.endpoint, std::move(request), options_.timeout),
                               boost::asio::use_future)
      .get();
}

transport::http_exchange api_client::SendRepeatable(const transport::http_request& request) {
  transport::http_exchange exchange = Send(request);
  for (int attempt = 1; attempt < kMaxAttempts && !exchange.status.ok(); ++attempt) {
    std::this_thread::sleep_for(kRetryDelay * attempt);
    exchange = Send(request);
  }
  return exchange;
}

}  // namespace hickorystall::programs::cli
