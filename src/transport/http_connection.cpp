#include "transport/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <exception>
#include <sstream>
#include <utility>

namespace hickorystall::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kDiscardBytes = 4096;
// Memory of a connection besides its buffers: socket, parser, timer and the frames of its coroutines.
constexpr std::size_t kConnectionBytes = 8192;
// Multiple of a request's size that is held while it is handled: the request, a copy for a relay to another
// VM, and the row that is written with its encoding.
constexpr std::size_t kHandlingFactor = 4;
// Attempts to free memory for one request.
constexpr int kMaxSheddings = 3;
// A request of which nothing has arrived counts as this part, so that its expected time is finite.
constexpr double kMinCompleteShare = 0.001;
// Status of the response to a request whose handler failed with an exception.
constexpr int kInternalError = 500;

http::response<http::string_body> MakeMessage(http_response&& response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  for (const auto& [name, value] : response.headers) message.insert(name, value);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

// Counts a request in progress.
class counted_request {
 public:
  explicit counted_request(std::atomic<int>& count) : count_(count) { ++count_; }
  ~counted_request() { --count_; }
  counted_request(const counted_request&) = delete;
  counted_request& operator=(const counted_request&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

http_connection::http_connection(tcp::socket socket, std::shared_ptr<http_server_context> context)
    : socket_(std::move(socket)),
      context_(std::move(context)),
      limits_(context_->settings.limits),
      reader_(context_->settings.max_body_bytes, context_->settings.max_header_bytes),
      charge_(limits_ == nullptr ? nullptr : &limits_->memory),
      timer_(socket_.get_executor()) {
  charge_.Set(kConnectionBytes);
  if (limits_ != nullptr) limits_->Add(this);
}

http_connection::~http_connection() { Close(); }

void http_connection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  charge_.Set(0);
  if (limits_ == nullptr) return;
  limits_->Remove(this);
  limits_->descriptors.Release(context_->settings.connection_use);
}

asio::awaitable<void> http_connection::Serve() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  bool keep_open = true;
  while (keep_open) keep_open = co_await ServeRequest();
  reader_.End();
  charge_.Set(kConnectionBytes);
  if (lingers_ && !is_shed_) co_await Linger();
  ClearTimeout();
  timer_.cancel();
  Close();
}

// Reads one request and writes its response. Returns false when the connection must be closed.
asio::awaitable<bool> http_connection::ServeRequest() {
  if (reader_.buffered() == 0 && !co_await WaitForRequest()) co_return false;
  const counted_request in_flight(context_->in_flight);
  switch (co_await ReadRequest()) {
    case read_result::kRequest:
      co_return co_await HandleRequest();
    case read_result::kRefuse:
      co_return co_await Refuse();
    case read_result::kClose:
      break;
  }
  co_return false;
}

// Reads until a request is complete or has to be refused.
asio::awaitable<http_connection::read_result> http_connection::ReadRequest() {
  phase_ = phase::kReading;
  reader_.Begin();
  while (true) {
    const request_reader::progress progress = reader_.Parse();
    if (progress == request_reader::progress::kFailed) {
      failure_ = reader_.failure();
      co_return read_result::kRefuse;
    }
    if (progress == request_reader::progress::kComplete) break;
    const read_result result = co_await ReadSome();
    if (result != read_result::kRequest) co_return result;
  }
  ClearTimeout();
  // A complete request waits for nothing, so its rate must not count when its handling needs memory.
  reading_since_.reset();
  body_since_.reset();
  // What the handler holds of the request is reserved with it.
  const std::size_t bytes = kConnectionBytes + kHandlingFactor * reader_.held_bytes();
  if (charge_.TrySet(bytes) || co_await MakeRoom(bytes)) co_return read_result::kRequest;
  failure_ = read_failure::kOverloaded;
  co_return read_result::kRefuse;
}

// Reads the next bytes of a request, after their memory has been reserved.
asio::awaitable<http_connection::read_result> http_connection::ReadSome() {
  const clock::time_point now = clock::now();
  if (!reading_since_) reading_since_ = now;
  if (!body_since_ && reader_.has_header()) body_since_ = now;
  SetDeadline(now, ReadDeadline(now));
  const std::size_t needed = kConnectionBytes + reader_.HeldAfterNextRead();
  if (!charge_.TrySet(needed) && !co_await MakeRoom(needed)) {
    failure_ = read_failure::kOverloaded;
    co_return read_result::kRefuse;
  }
  // The deadline may have passed while memory was freed. The timer has then found no read to cancel.
  if (timed_out_) {
    failure_ = read_failure::kTooSlow;
    co_return read_result::kRefuse;
  }
  auto [error, bytes] = co_await socket_.async_read_some(reader_.Prepare(), kAsTuple);
  if (is_shed_) co_return read_result::kRefuse;
  if (!error) {
    reader_.Commit(bytes);
    co_return read_result::kRequest;
  }
  if (!timed_out_) co_return read_result::kClose;
  failure_ = read_failure::kTooSlow;
  co_return read_result::kRefuse;
}

// A header section has a fixed time. A body may pause, and has time in proportion to what has arrived.
http_connection::clock::time_point http_connection::ReadDeadline(clock::time_point now) {
  const http_server_settings& settings = context_->settings;
  if (!body_since_ || settings.min_body_rate == 0)
    return std::min(*reading_since_ + settings.read_timeout, reading_end_);
  const std::chrono::milliseconds for_bytes(reader_.body_bytes() * 1000 / settings.min_body_rate);
  return std::min(
      {now + settings.idle_timeout, *body_since_ + settings.idle_timeout + for_bytes, reading_end_});
}

asio::awaitable<bool> http_connection::MakeRoom(std::size_t bytes) {
  // A connection that needs memory at once has not been waiting.
  if (!reading_since_) operation_begin_ = clock::now();
  for (int attempt = 0; attempt < kMaxSheddings; ++attempt) {
    if (!limits_->ShedForMemory(bytes - std::min(bytes, charge_.bytes()), *this)) co_return false;
    // The connections that are closed free their memory in handlers that run before this one.
    co_await asio::post(socket_.get_executor(), asio::use_awaitable);
    if (is_shed_) co_return false;
    if (charge_.TrySet(bytes)) co_return true;
  }
  co_return false;
}

// Responds to a request that is not run. Always returns false, since the connection must be closed.
asio::awaitable<bool> http_connection::Refuse() {
  reader_.End();
  charge_.Set(kConnectionBytes);
  if (is_shed_ || failure_ == read_failure::kOverloaded) {
    if (!is_shed_) Count(limit_reason::kRefusedMemory);
    is_shed_ = true;
    SendWithoutWaiting(read_failure::kOverloaded);
    co_return false;
  }
  if (failure_ == read_failure::kTooSlow) Count(limit_reason::kTooSlow);
  if (failure_ == read_failure::kHeadersTooLarge) Count(limit_reason::kHeadersTooLarge);
  if (failure_ == read_failure::kBodyTooLarge) Count(limit_reason::kBodyTooLarge);
  co_await Write(context_->make_failure_response(failure_), false);
  lingers_ = true;
  co_return false;
}

asio::awaitable<bool> http_connection::HandleRequest() {
  phase_ = phase::kHandling;
  const bool wants_keep_alive = reader_.keeps_alive();
  http_request request = reader_.Take();
  reader_.End();
  http_response response;
  try {
    response = co_await context_->handle(std::move(request));
  } catch (const std::exception& failure) {
    // The request may have had an effect before the failure, so the response must not deny that.
    std::fprintf(stderr, "http server: the handler failed: %s\n", failure.what());
    response = JsonResponse(kInternalError, R"({"error":"internal"})");
  }
  if (response.status == 0) co_return false;
  const bool keep_alive = wants_keep_alive && !ClosesAfterResponse();
  lingers_ = wants_keep_alive && !keep_alive;
  co_return co_await Write(std::move(response), keep_alive);
}

// Requests that are already buffered when the drain begins are still handled.
bool http_connection::ClosesAfterResponse() const { return context_->draining && reader_.buffered() == 0; }

void http_connection::Count(limit_reason reason) {
  if (limits_ != nullptr) limits_->Count(reason);
}

// Waits for the first byte of a request. Returns false when the connection must be closed.
asio::awaitable<bool> http_connection::WaitForRequest() {
  phase_ = phase::kIdle;
  const std::size_t needed = kConnectionBytes + reader_.HeldAfterNextRead();
  if (!charge_.TrySet(needed) && !co_await MakeRoom(needed)) is_shed_ = true;
  if (is_shed_) {
    SendWithoutWaiting(read_failure::kOverloaded);
    co_return false;
  }
  SetTimeout(context_->stopped ? context_->settings.last_request_timeout : context_->settings.idle_timeout);
  auto [error, bytes] = co_await socket_.async_read_some(reader_.Prepare(), kAsTuple);
  if (is_shed_) {
    SendWithoutWaiting(bytes > 0 ? read_failure::kOverloaded : read_failure::kTooSlow);
    co_return false;
  }
  if (!error) {
    reader_.Commit(bytes);
    co_return true;
  }
  if (!timed_out_) co_return false;
  if (ReadAvailable()) co_return true;
  // The peer may be sending a request at this moment. RFC 9110, section 15.5.9, allows a server to announce
  // with 408 that it closes an unused connection, which tells a peer that its request was not run.
  co_await Write(context_->make_failure_response(read_failure::kTooSlow), false);
  lingers_ = true;
  co_return false;
}

// Reads the data that arrived since the last read was cancelled. Returns false when there is none.
bool http_connection::ReadAvailable() {
  boost::system::error_code error;
  if (socket_.available(error) == 0 || error) return false;
  const std::size_t bytes = socket_.read_some(reader_.Prepare(), error);
  if (error) return false;
  reader_.Commit(bytes);
  return bytes > 0;
}

asio::awaitable<bool> http_connection::Write(http_response response, bool keep_alive) {
  phase_ = phase::kWriting;
  charge_.Set(kConnectionBytes + reader_.held_bytes() + response.body.capacity());
  http::response<http::string_body> message = MakeMessage(std::move(response), keep_alive);
  SetTimeout(context_->settings.write_timeout);
  auto [error, bytes] = co_await http::async_write(socket_, message, kAsTuple);
  (void)bytes;
  ClearTimeout();
  if (timed_out_) Count(limit_reason::kUnreadResponse);
  lingers_ = lingers_ && !error;
  co_return !error && keep_alive && !is_shed_;
}

void http_connection::SendWithoutWaiting(read_failure failure) {
  std::ostringstream text;
  text << MakeMessage(context_->make_failure_response(failure), false);
  const std::string bytes = text.str();
  // The peer's window has space for the response, unless it has read nothing for long.
  ::send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

// Discards what the peer still sends, until it closes its side or `linger_timeout` has passed.
asio::awaitable<void> http_connection::Linger() {
  phase_ = phase::kLingering;
  boost::system::error_code shutdown_error;
  socket_.shutdown(tcp::socket::shutdown_send, shutdown_error);
  SetTimeout(context_->settings.linger_timeout);
  std::array<char, kDiscardBytes> discarded;
  while (!timed_out_ && !is_shed_) {
    auto [error, bytes] = co_await socket_.async_read_some(asio::buffer(discarded), kAsTuple);
    if (error || bytes == 0) co_return;
  }
}

std::optional<http_connection::clock::duration> http_connection::ExpectedTime(clock::time_point now) const {
  // Connections of other VMs and of readiness checks are kept.
  if (is_shed_ || phase_ == phase::kHandling ||
      context_->settings.connection_use != descriptor_use::kIncoming) {
    return std::nullopt;
  }
  const clock::duration waited = now - operation_begin_;
  if (phase_ != phase::kReading || !reading_since_) return waited;
  // The rest at the rate so far, and the time without a byte.
  const double share = std::max(reader_.CompleteShare(), kMinCompleteShare);
  const auto rest = std::chrono::duration<double>(now - *reading_since_) * (1 / share - 1);
  return std::chrono::duration_cast<clock::duration>(rest) + waited;
}

void http_connection::Shed(limit_reason reason) {
  is_shed_ = true;
  Count(reason);
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void http_connection::ShortenTimeouts() {
  const clock::time_point now = clock::now();
  if (phase_ == phase::kIdle) SetTimeout(context_->settings.last_request_timeout);
  reading_end_ = now + context_->settings.read_timeout;
  if (phase_ == phase::kReading && reading_since_) SetDeadline(now, std::min(deadline_, reading_end_));
}

void http_connection::SetTimeout(clock::duration duration) {
  const clock::time_point now = clock::now();
  SetDeadline(now, now + duration);
}

void http_connection::SetDeadline(clock::time_point now, clock::time_point deadline) {
  timed_out_ = false;
  operation_begin_ = now;
  deadline_ = deadline;
  if (deadline_ < timer_expiry_) ArmTimer();
}

void http_connection::ArmTimer() {
  timer_expiry_ = deadline_;
  timer_.expires_at(deadline_);
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) self->OnTimer();
  });
}

void http_connection::OnTimer() {
  timer_expiry_ = clock::time_point::max();
  if (deadline_ == clock::time_point::max()) return;
  if (clock::now() < deadline_) return ArmTimer();
  deadline_ = clock::time_point::max();
  timed_out_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

}  // namespace hickorystall::transport
