#pragma once

#include <cstdint>
#include <string>

namespace hickorystall::benchmark {

/// Runs all loads under all policies and measures the cost of decisions. Returns the tables in Markdown.
std::string FullReport(std::uint64_t seed);

/// Measures the cost of decisions at 1/8 to 2 times the two-year size. Returns the table in Markdown.
std::string CostReport(std::uint64_t seed);

/// Runs the evening peaks with each mechanism of the default policy switched off or replaced, one at a time.
/// Returns the tables in Markdown.
std::string AblationReport(std::uint64_t seed);

}  // namespace hickorystall::benchmark
