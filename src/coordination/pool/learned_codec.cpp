#include "coordination/pool/learned_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace hickorystall::coordination::pool {

using nlohmann::json;
using namespace state::pool::learning;  // NOLINT(google-build-using-namespace)

namespace {

// Raised when the meaning of an entry changes. Rows of another version are not read.
constexpr int kVersion = 1;
// Stored numbers have four decimals. They are logarithms, so this is one in ten thousand.
constexpr double kDecimals = 10'000;
constexpr std::size_t kGroupSize = 14;
constexpr std::size_t kWorkerSize = 6;

double Rounded(double value) { return std::round(value * kDecimals) / kDecimals; }

// Sums are stored as means, variance and covariance, which survive the rounding.
json EncodeGroup(const learned_group& group) {
  const auto& [n, x, y, xx, xy] = group.sums;
  const double mean_x = x / n;
  const double mean_y = y / n;
  return json::array({group.group.workspace, group.group.queue, group.group.accelerators, group.group.gang,
                      Rounded(n), Rounded(mean_x), Rounded(mean_y), Rounded(xx / n - mean_x * mean_x),
                      Rounded(xy / n - mean_x * mean_y), Rounded(group.quantiles[0]),
                      Rounded(group.quantiles[1]), Rounded(group.quantiles[2]), Rounded(group.log_spread),
                      group.runs});
}

learned_group DecodeGroup(const json& entry) {
  learned_group group;
  group.group = {entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
                 entry.at(2).get<std::int64_t>(), entry.at(3).get<bool>()};
  const auto number = [&entry](std::size_t index) { return entry.at(index).get<double>(); };
  const double n = number(4);
  const double mean_x = number(5);
  const double mean_y = number(6);
  group.sums = {n, n * mean_x, n * mean_y, n * (number(7) + mean_x * mean_x),
                n * (number(8) + mean_x * mean_y)};
  group.quantiles = {number(9), number(10), number(11)};
  group.log_spread = number(12);
  group.runs = entry.at(13).get<std::int64_t>();
  return group;
}

json EncodeWorker(const learned_worker& worker) {
  return json::array({worker.id, worker.incarnation, Rounded(worker.log_speed), Rounded(worker.deviation),
                      worker.runs, static_cast<int>(worker.grade)});
}

learned_worker DecodeWorker(const json& entry) {
  learned_worker worker;
  worker.id = entry.at(0).get<std::string>();
  worker.incarnation = entry.at(1).get<std::int64_t>();
  worker.log_speed = entry.at(2).get<double>();
  worker.deviation = entry.at(3).get<double>();
  worker.runs = entry.at(4).get<int>();
  const int grade = entry.at(5).get<int>();
  if (grade >= 0 && grade < kSpeedClasses) worker.grade = static_cast<speed_class>(grade);
  return worker;
}

std::string Dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

// Adds the entries to the array `name` of `row` while `free_bytes` lasts.
template <typename entries, typename encoder>
void AddEntries(const entries& list, encoder encode, const char* name, json& row, std::size_t& free_bytes) {
  json array = json::array();
  for (const auto& entry : list) {
    json encoded = encode(entry);
    const std::size_t size = Dump(encoded).size() + 1;
    if (size > free_bytes) break;
    free_bytes -= size;
    array.push_back(std::move(encoded));
  }
  row[name] = std::move(array);
}

template <typename entry, typename decoder>
std::vector<entry> DecodeEntries(const json& row, const char* name, std::size_t size, decoder decode) {
  std::vector<entry> list;
  const auto array = row.find(name);
  if (array == row.end() || !array->is_array()) return list;
  for (const json& element : *array) {
    if (!element.is_array() || element.size() != size) continue;
    try {
      list.push_back(decode(element));
    } catch (const json::exception&) {
      // A field of another type; the entry is left out.
    }
  }
  return list;
}

}  // namespace

std::string EncodeLearned(const learned_state& learned, std::size_t max_bytes) {
  json row{{"version", kVersion}, {"groups", json::array()}, {"workers", json::array()}};
  const std::size_t frame = Dump(row).size();
  std::size_t free_bytes = max_bytes > frame ? max_bytes - frame : 0;
  AddEntries(learned.workers, EncodeWorker, "workers", row, free_bytes);
  AddEntries(learned.groups, EncodeGroup, "groups", row, free_bytes);
  return Dump(row);
}

std::optional<learned_state> DecodeLearned(std::string_view text) {
  const json row = json::parse(text, nullptr, false);
  if (!row.is_object()) return std::nullopt;
  const auto version = row.find("version");
  if (version == row.end() || !version->is_number_integer() || version->get<std::int64_t>() != kVersion)
    return std::nullopt;
  learned_state learned;
  learned.groups = DecodeEntries<learned_group>(row, "groups", kGroupSize, DecodeGroup);
  learned.workers = DecodeEntries<learned_worker>(row, "workers", kWorkerSize, DecodeWorker);
  return learned;
}

}  // namespace hickorystall::coordination::pool
