#include "protocol/table_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "state/ranked_mutex.h"
#include "state/text.h"
#include "transport/async_event.h"

namespace hickorystall::protocol {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int kScanPageRows = 1000;
// Retries that each call adds to the allowance, so that an outage causes at most 1.2 times the traffic.
constexpr double kRetriesPerCall = 0.2;
// Upper bound of the retry allowance, which is also its initial value.
constexpr double kMaxRetryAllowance = 5.0;

// Returns a random delay from 0.5 to 1.5 times `base`, so that instances do not retry in step.
milliseconds Jitter(milliseconds base) {
  thread_local std::minstd_rand generator{std::random_device{}()};
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor(generator)));
}

json ToJson(const table_transaction& transaction) {
  json body = {{"conditions", json::array()}, {"puts", json::array()}, {"deletes", transaction.deletes}};
  for (const table_condition& condition : transaction.conditions) {
    body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
  }
  for (const table_put& put : transaction.puts)
    body["puts"].push_back({{"key", put.key}, {"value", put.value}});
  return body;
}

absl::Status UnexpectedResponse(const transport::http_response& response) {
  return absl::UnavailableError(state::StrCat("platform answered with status ", response.status));
}

}  // namespace

// Circuit breaker and retry budget, shared by all event loops.
struct platform_client::breaker_state {
  // Guards all members below.
  mutable state::ranked_mutex mutex{state::lock_rank::kConnectionPool};
  int consecutive_failures = 0;
  clock::time_point open_until;
  double retry_allowance = kMaxRetryAllowance;
  platform_counters counters;
};

platform_client::platform_client(transport::http_client& http, platform_settings settings)
    : http_(http), settings_(std::move(settings)), breaker_(std::make_unique<breaker_state>()) {}

platform_client::~platform_client() = default;

platform_counters platform_client::counters() const {
  const std::lock_guard lock(breaker_->mutex);
  return breaker_->counters;
}

bool platform_client::available() const {
  const std::lock_guard lock(breaker_->mutex);
  return breaker_->consecutive_failures < settings_.breaker_failures;
}

bool platform_client::TryBeginAttempt(bool retry) {
  const std::lock_guard lock(breaker_->mutex);
  breaker_state& state = *breaker_;
  if (!retry) ++state.counters.calls;
  const clock::time_point now = clock::now();
  if (state.consecutive_failures >= settings_.breaker_failures) {
    if (now < state.open_until) {
      if (!retry) ++state.counters.refused_by_breaker;
      return false;
    }
    // Half open: this attempt tests the platform while all others keep failing immediately.
    state.open_until = now + Jitter(settings_.breaker_open);
  }
  if (retry) {
    if (state.retry_allowance < 1) return false;
    state.retry_allowance -= 1;
  } else {
    state.retry_allowance = std::min(kMaxRetryAllowance, state.retry_allowance + kRetriesPerCall);
  }
  ++state.counters.attempts;
  return true;
}

void platform_client::RecordResult(bool succeeded) {
  const std::lock_guard lock(breaker_->mutex);
  if (succeeded) {
    breaker_->consecutive_failures = 0;
    return;
  }
  if (++breaker_->consecutive_failures >= settings_.breaker_failures) {
    breaker_->open_until = clock::now() + Jitter(settings_.breaker_open);
  }
}

asio::awaitable<transport::http_exchange> platform_client::Attempt(const transport::http_request& request,
                                                                   milliseconds timeout) {
  transport::http_exchange exchange = co_await http_.Send(settings_.endpoint, request, timeout);
  if (exchange.status.ok() && exchange.response.status >= 500) {
    exchange.status = UnexpectedResponse(exchange.response);
  }
  RecordResult(exchange.status.ok());
  co_return exchange;
}

// Returns the response, kUnavailable when the request had no effect, or kUnknown when it may have had one.
// GCC 12 destroys an aggregate temporary in the operand of co_await twice, so callers pass named variables.
asio::awaitable<absl::StatusOr<transport::http_response>> platform_client::Call(
    transport::http_request request, bool repeatable) {
  const clock::time_point deadline = clock::now() + settings_.call_timeout;
  milliseconds delay = settings_.retry_delay;
  absl::Status failure = absl::UnavailableError("platform: circuit breaker is open");
  for (bool retry = false; TryBeginAttempt(retry); retry = true) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now());
    if (left <= milliseconds(0)) break;
    transport::http_exchange exchange = co_await Attempt(request, std::min(left, settings_.attempt_timeout));
    if (exchange.status.ok()) co_return std::move(exchange.response);
    const std::string text(exchange.status.message());
    if (exchange.bytes_sent && !repeatable) co_return absl::UnknownError(text);
    failure = absl::UnavailableError(text);
    const milliseconds pause = Jitter(delay);
    if (clock::now() + pause >= deadline) break;
    co_await transport::Sleep(pause);
    delay *= 2;
  }
  co_return failure;
}

asio::awaitable<absl::StatusOr<std::int64_t>> platform_client::Transact(table_transaction transaction) {
  transport::http_request request{
      "POST", "/v1/transact", {{"Content-Type", "application/json"}}, ToJson(transaction).dump()};
  absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), false);
  if (!response.ok()) co_return response.status();
  if (response->status == 409) co_return absl::AbortedError(response->body);
  const json body = json::parse(response->body, nullptr, false);
  if (response->status != 200 || !body.is_object() || !body.contains("commit")) {
    co_return absl::UnknownError(std::string(UnexpectedResponse(*response).message()));
  }
  co_return body["commit"].get<std::int64_t>();
}

asio::awaitable<absl::StatusOr<table_row>> platform_client::Read(std::string key) {
  transport::http_request request{"GET", "/v1/rows?key=" + transport::PercentEncode(key), {}, ""};
  absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), true);
  if (!response.ok()) co_return response.status();
  if (response->status == 404) co_return table_row{key, "", 0};
  const json body = json::parse(response->body, nullptr, false);
  if (response->status != 200 || !body.is_object()) co_return UnexpectedResponse(*response);
  co_return table_row{key, body.value("value", ""), body.value("version", std::int64_t{0})};
}

asio::awaitable<absl::StatusOr<std::vector<table_row>>> platform_client::Scan(std::string prefix) {
  std::vector<table_row> rows;
  std::string after;
  for (bool more = true; more;) {
    const std::string target =
        state::StrCat("/v1/scan?prefix=", transport::PercentEncode(prefix),
                      "&after=", transport::PercentEncode(after), "&limit=", kScanPageRows);
    transport::http_request request{"GET", target, {}, ""};
    absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), true);
    if (!response.ok()) co_return response.status();
    const json body = json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object() || !body.contains("rows"))
      co_return UnexpectedResponse(*response);
    for (const json& row : body["rows"]) {
      rows.push_back({row.value("key", ""), row.value("value", ""), row.value("version", std::int64_t{0})});
    }
    more = body.value("more", false) && !rows.empty();
    if (more) after = rows.back().key;
  }
  co_return rows;
}

asio::awaitable<absl::Status> platform_client::PutObject(std::string name, std::string body) {
  transport::http_request request{
      "PUT", "/v1/objects/" + transport::PercentEncode(name), {}, std::move(body)};
  absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), true);
  if (!response.ok()) co_return response.status();
  co_return response->status == 200 ? absl::OkStatus() : UnexpectedResponse(*response);
}

asio::awaitable<absl::StatusOr<std::string>> platform_client::GetObject(std::string name) {
  transport::http_request request{"GET", "/v1/objects/" + transport::PercentEncode(name), {}, ""};
  absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), true);
  if (!response.ok()) co_return response.status();
  if (response->status == 404) co_return absl::NotFoundError("no object " + name);
  if (response->status != 200) co_return UnexpectedResponse(*response);
  co_return std::move(response->body);
}

asio::awaitable<absl::StatusOr<std::vector<std::string>>> platform_client::LeavingVms() {
  transport::http_request request{"GET", "/v1/vms", {}, ""};
  absl::StatusOr<transport::http_response> response = co_await Call(std::move(request), true);
  if (!response.ok()) co_return response.status();
  const json body = json::parse(response->body, nullptr, false);
  if (response->status != 200 || !body.is_object() || !body.contains("vms"))
    co_return UnexpectedResponse(*response);
  std::vector<std::string> leaving;
  for (const json& vm : body["vms"]) {
    if (vm.value("state", "") == "leaving") leaving.push_back(vm.value("name", ""));
  }
  co_return leaving;
}

asio::awaitable<absl::Status> TransactAndConfirm(table_client& table, table_transaction transaction,
                                                 std::string marker_key, std::string token,
                                                 milliseconds timeout) {
  const clock::time_point deadline = clock::now() + timeout;
  milliseconds delay{50};
  // True once the reply to an attempt was lost. From then on the conflicting transaction may be this writer's
  // own.
  bool in_doubt = false;
  for (;;) {
    const absl::StatusOr<std::int64_t> commit = co_await table.Transact(transaction);
    if (commit.ok()) co_return absl::OkStatus();
    if (absl::IsUnknown(commit.status())) in_doubt = true;
    if (absl::IsAborted(commit.status()) && !in_doubt) co_return commit.status();
    if (in_doubt) {
      const absl::StatusOr<table_row> row = co_await table.Read(marker_key);
      if (row.ok() && row->value.find(token) != std::string::npos) co_return absl::OkStatus();
      if (row.ok() && absl::IsAborted(commit.status())) co_return commit.status();
    }
    if (clock::now() + delay >= deadline) {
      co_return in_doubt ? absl::UnknownError("the outcome of the transaction is unknown") : commit.status();
    }
    co_await transport::Sleep(Jitter(delay));
    delay = std::min(delay * 2, milliseconds(500));
  }
}

}  // namespace hickorystall::protocol
