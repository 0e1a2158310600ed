#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hickorystall::harness {

/// Checks the log of the worker stand-ins (GET /v1/log) against invariant I2. `members` gives the number of
/// members of each job. Returns one sentence for each violation: a gang of which some members worked and
/// others did not for longer than `partial_limit` in a row, two attempts of one job that worked at the same
/// time, or an accelerator that two tasks used at the same time.
std::vector<std::string> FindGangViolations(const nlohmann::json& log,
                                            const std::map<std::string, int>& members,
                                            std::chrono::milliseconds partial_limit);

/// Returns the longest time in a row for which some members of a gang worked and others did not.
std::chrono::microseconds LongestPartialRun(const nlohmann::json& log,
                                            const std::map<std::string, int>& members);

}  // namespace hickorystall::harness
