#pragma once

#include <string>
#include <string_view>

#include "state/error_kind.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace hickorystall::protocol {

/// Makes the answer for a refusal from the answer table. `outcome_url` is added when it is not empty.
transport::http_response MakeErrorResponse(state::error_kind kind, std::string_view message,
                                           std::string_view outcome_url = {});

/// Makes the answer to a request that could not be read.
transport::http_response MakeReadFailureResponse(transport::read_failure failure);

}  // namespace hickorystall::protocol
