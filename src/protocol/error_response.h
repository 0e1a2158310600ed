#pragma once

#include <string>
#include <string_view>

#include "state/error_kind.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace hickorystall::protocol {

/// Makes the response to a refused request. `outcome_url` tells where to query the outcome; left out when
/// empty.
transport::http_response MakeErrorResponse(state::error_kind kind, std::string_view message,
                                           std::string_view outcome_url = {});

/// Makes the response to a request that could not be read.
transport::http_response MakeReadFailureResponse(transport::read_failure failure);

}  // namespace hickorystall::protocol
