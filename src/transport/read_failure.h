#pragma once

namespace hickorystall::transport {

/// Why the server did not read a request completely. The request is not run.
enum class read_failure {
  kMalformed,
  kBodyTooLarge,
  /// Header section, trailers or chunk extensions.
  kHeadersTooLarge,
  kTooSlow,
  /// No memory or no descriptor for it.
  kOverloaded,
};

}  // namespace hickorystall::transport
