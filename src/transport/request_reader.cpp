#include "transport/request_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorystall::transport {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Space for an ordinary request. A connection keeps it between requests.
constexpr std::size_t kReadBytes = 4096;
// Space for each read of a body that is longer, which needs fewer system calls.
constexpr std::size_t kBodyReadBytes = 16384;
// The shortest end of a chunked body. Beast asserts that it has this many bytes when the body was empty.
constexpr std::size_t kLastChunkBytes = 5;
// Memory of a parsed header field besides its text: its element in the parser and its two strings in the
// request.
constexpr std::size_t kFieldBytes = 160;

}  // namespace

request_reader::request_reader(std::uint64_t max_body_bytes, std::uint32_t max_header_bytes)
    : max_body_bytes_(max_body_bytes),
      max_header_bytes_(max_header_bytes),
      buffer_(std::max<std::size_t>(max_header_bytes, kBodyReadBytes) + kReadBytes) {}

void request_reader::Begin() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(max_body_bytes_);
  parser_->header_limit(max_header_bytes_);
  parser_->on_chunk_header(counter_);
  counter_.framing_bytes = 0;
  parsed_ = 0;
  field_bytes_ = 0;
}

request_reader::progress request_reader::Fail(read_failure failure) {
  failure_ = failure;
  return progress::kFailed;
}

request_reader::progress request_reader::Parse() {
  while (!parser_->is_done()) {
    const bool is_chunked = parser_->is_header_done() && parser_->chunked();
    if (buffer_.size() < (is_chunked ? kLastChunkBytes : 1)) return progress::kIncomplete;
    beast::error_code error;
    const std::size_t bytes = parser_->put(buffer_.data(), error);
    buffer_.consume(bytes);
    parsed_ += bytes;
    if (field_bytes_ == 0 && parser_->is_header_done()) {
      const auto& fields = parser_->get();
      field_bytes_ = parsed_ - body_bytes() +
                     static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) * kFieldBytes;
    }
    if (error == http::error::body_limit) return Fail(read_failure::kBodyTooLarge);
    if (error == http::error::header_limit || ExceedsHeaderLimit())
      return Fail(read_failure::kHeadersTooLarge);
    if (error == http::error::need_more) {
      if (buffer_.size() < buffer_.max_size()) return progress::kIncomplete;
      return Fail(read_failure::kHeadersTooLarge);
    }
    if (error) return Fail(read_failure::kMalformed);
  }
  return progress::kComplete;
}

bool request_reader::ExceedsHeaderLimit() const {
  return parsed_ > max_header_bytes_ + body_bytes() + counter_.framing_bytes;
}

std::size_t request_reader::NextReadBytes() const {
  const std::size_t wanted = body_bytes() >= kReadBytes ? kBodyReadBytes : kReadBytes;
  return std::min(wanted, buffer_.max_size() - buffer_.size());
}

boost::asio::mutable_buffer request_reader::Prepare() { return buffer_.prepare(NextReadBytes()); }

http_request request_reader::Take() {
  auto message = parser_->release();
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) request.headers.emplace_back(field.name_string(), field.value());
  request.body = std::move(message.body());
  return request;
}

void request_reader::End() {
  parser_.reset();
  field_bytes_ = 0;
  if (buffer_.size() == 0 && buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
}

double request_reader::CompleteShare() const {
  if (!has_header()) return static_cast<double>(buffer_.size()) / static_cast<double>(buffer_.max_size());
  const auto length = parser_->content_length();
  const double whole = static_cast<double>(std::max<std::uint64_t>(length.value_or(max_body_bytes_), 1));
  return std::min(1.0, static_cast<double>(body_bytes()) / whole);
}

std::size_t request_reader::held_bytes() const {
  return buffer_.capacity() + field_bytes_ + (parser_ ? parser_->get().body().capacity() : 0);
}

std::size_t request_reader::HeldAfterNextRead() const {
  const std::size_t read = NextReadBytes();
  const std::size_t buffered = buffer_.size() + read;
  // A flat_buffer doubles its size, up to the largest one, when the space does not suffice.
  const std::size_t buffer = buffered <= buffer_.capacity()
                                 ? buffer_.capacity()
                                 : std::min(buffer_.max_size(), std::max(buffered, 2 * buffer_.size()));
  const std::size_t capacity = parser_ ? parser_->get().body().capacity() : 0;
  const std::uint64_t limit =
      has_header() ? parser_->content_length().value_or(max_body_bytes_) : max_body_bytes_;
  const std::uint64_t needed = std::min<std::uint64_t>(body_bytes() + buffered, limit);
  return buffer + field_bytes_ + request_body::CapacityFor(capacity, static_cast<std::size_t>(needed));
}

}  // namespace hickorystall::transport
