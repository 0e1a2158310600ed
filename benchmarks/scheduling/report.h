#pragma once

#include <cstdint>
#include <string>

namespace hickorystall::benchmark {

/// Runs all loads under all policies and measures the cost of decisions; returns the tables in Markdown.
std::string FullReport(std::uint64_t seed);

/// Measures the cost of decisions at 1/8 to 2 times the two-year size; returns the table.
std::string CostReport(std::uint64_t seed);

/// Runs both evening peaks with each mechanism of the scheduler's policy switched off; returns the table.
std::string AblationReport(std::uint64_t seed);

}  // namespace hickorystall::benchmark
