#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hickorystall::state {

/// Returns the configuration document `text` with the `drained` flag of the VM called `name` set to
/// `drained`. Comments, the order of keys and white space stay unchanged. Returns nothing when the document
/// has no such VM. `text` must be a valid configuration document.
std::optional<std::string> SetDrained(std::string_view text, std::string_view name, bool drained);

}  // namespace hickorystall::state
