#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hickorystall::harness {

/// Checks the log of the stand-in workers (GET /v1/log) for invariant I2: the members of a gang work all
/// together or not at all. `members` maps a job's id to the size of its gang. Returns one sentence for each
/// violation: some members of a gang worked and others did not for longer than `partial_limit` without
/// interruption, two attempts of one job worked at the same time, or two tasks used an accelerator at the
/// same time.
std::vector<std::string> FindGangViolations(const nlohmann::json& log,
                                            const std::map<std::string, int>& members,
                                            std::chrono::milliseconds partial_limit);

/// Returns the longest uninterrupted time during which some members of a gang worked and others did not; 0
/// when that never happened.
std::chrono::microseconds LongestPartialRun(const nlohmann::json& log,
                                            const std::map<std::string, int>& members);

}  // namespace hickorystall::harness
