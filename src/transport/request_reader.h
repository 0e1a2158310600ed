#pragma once

#include <algorithm>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>

#include "transport/http_message.h"
#include "transport/read_failure.h"
#include "transport/request_body.h"

namespace hickorystall::transport {

/// Parses the requests of one connection from its bytes, and bounds what it keeps of them. It does no input
/// or output.
class request_reader {
 public:
  enum class progress { kIncomplete, kComplete, kFailed };

  /// `max_header_bytes` applies to the header section together with the trailers and with all of the chunks'
  /// framing that is not needed, such as extensions.
  request_reader(std::uint64_t max_body_bytes, std::uint32_t max_header_bytes);

  /// Begins the next request. Bytes that followed the previous one are kept.
  void Begin();
  /// Parses what has arrived. Must be called after Begin and after each Commit.
  progress Parse();
  /// Why the last Parse failed.
  read_failure failure() const { return failure_; }
  /// Returns the space for the next bytes from the connection. Not empty unless Parse has failed.
  boost::asio::mutable_buffer Prepare();
  /// Appends the first `bytes` bytes of that space.
  void Commit(std::size_t bytes) { buffer_.commit(bytes); }
  /// Returns the complete request.
  http_request Take();
  /// Releases the memory of the request, and of an empty buffer that is larger than an ordinary one.
  void End();

  /// Bytes that have arrived and are not parsed.
  std::size_t buffered() const { return buffer_.size(); }
  bool has_header() const { return parser_ && parser_->is_header_done(); }
  bool keeps_alive() const { return parser_->get().keep_alive(); }
  /// Bytes of the body so far.
  std::size_t body_bytes() const { return parser_ ? parser_->get().body().size() : 0; }
  /// Share of the request that has arrived, from 0 to 1. Header section and chunked body count as if they had
  /// the largest size, since their ends are unknown.
  double CompleteShare() const;
  /// Bytes held, by the capacity of the buffers.
  std::size_t held_bytes() const;
  /// Upper bound of the bytes held when the space of the next Prepare is filled and parsed.
  std::size_t HeldAfterNextRead() const;

 private:
  using parser = boost::beast::http::request_parser<request_body>;
  // Counts the bytes that the framing of the chunks needs: the digits of their sizes and two line ends each.
  struct chunk_counter {
    std::uint64_t framing_bytes = 0;
    void operator()(std::uint64_t size, boost::beast::string_view, boost::beast::error_code&) {
      framing_bytes += std::max(1, (static_cast<int>(std::bit_width(size)) + 3) / 4) + 4;
    }
  };

  progress Fail(read_failure failure);
  std::size_t NextReadBytes() const;
  bool ExceedsHeaderLimit() const;

  const std::uint64_t max_body_bytes_;
  const std::uint32_t max_header_bytes_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  chunk_counter counter_;
  // Bytes of the request that the parser has taken.
  std::uint64_t parsed_ = 0;
  // Memory of the parsed header fields; 0 until the header section is complete.
  std::size_t field_bytes_ = 0;
  read_failure failure_ = read_failure::kMalformed;
};

}  // namespace hickorystall::transport
