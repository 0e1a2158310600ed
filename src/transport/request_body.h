#pragma once

#include <algorithm>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace hickorystall::transport {

/// Body of a request (a Body of Boost.Beast). Unlike string_body, it takes memory for bytes that have arrived
/// and not for an announced length, and how it grows is known in advance.
struct request_body {
  using value_type = std::string;

  /// Bodies up to this size get their memory at once.
  static constexpr std::size_t kSmallBody = 4096;

  /// Capacity of the memory in which `needed` bytes are stored.
  static std::size_t CapacityFor(std::size_t capacity, std::size_t needed) {
    return needed <= capacity ? capacity : std::bit_ceil(std::max(needed, kSmallBody));
  }

  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error) {
      error = {};
      const std::uint64_t announced = length.value_or(0);
      if (announced <= kSmallBody) body_.reserve(static_cast<std::size_t>(announced));
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto at = boost::asio::buffer_sequence_begin(buffers);
           at != boost::asio::buffer_sequence_end(buffers); ++at) {
        const boost::asio::const_buffer part = *at;
        body_.reserve(CapacityFor(body_.capacity(), body_.size() + part.size()));
        body_.append(static_cast<const char*>(part.data()), part.size());
        bytes += part.size();
      }
      return bytes;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace hickorystall::transport
