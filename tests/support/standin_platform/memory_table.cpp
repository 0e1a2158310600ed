#include "memory_table.h"

#include <utility>
#include <vector>

namespace hickorystall::standin {

using nlohmann::json;

namespace {

json RowToJson(const std::string& key, const std::string& value, std::int64_t version) {
  return {{"key", key}, {"value", value}, {"version", version}};
}

}  // namespace

memory_table::transact_result memory_table::Transact(const json& body) {
  transact_result result;
  for (const json& condition : body.value("conditions", json::array())) {
    const std::string key = condition.at("key").get<std::string>();
    const auto found = rows_.find(key);
    const std::int64_t version = found == rows_.end() ? 0 : found->second.version;
    if (version != condition.at("version").get<std::int64_t>()) {
      result.conflicts.push_back({{"key", key}, {"version", version}});
    }
  }
  // The whole body is parsed before the first change, so that a malformed body changes nothing.
  std::vector<std::pair<std::string, std::string>> puts;
  for (const json& put : body.value("puts", json::array())) {
    puts.emplace_back(put.at("key").get<std::string>(), put.at("value").get<std::string>());
  }
  const auto deletes = body.value("deletes", std::vector<std::string>{});
  if (!result.conflicts.empty()) return result;
  result.commit = ++last_commit_;
  for (auto& [key, value] : puts) rows_[key] = {std::move(value), result.commit};
  for (const std::string& key : deletes) rows_.erase(key);
  return result;
}

json memory_table::Read(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return nullptr;
  return RowToJson(key, found->second.value, found->second.version);
}

json memory_table::Scan(const std::string& prefix, const std::string& after, std::size_t limit) const {
  json rows = json::array();
  auto position = after >= prefix ? rows_.upper_bound(after) : rows_.lower_bound(prefix);
  while (position != rows_.end() && position->first.starts_with(prefix) && rows.size() < limit) {
    rows.push_back(RowToJson(position->first, position->second.value, position->second.version));
    ++position;
  }
  const bool more = position != rows_.end() && position->first.starts_with(prefix);
  return {{"rows", std::move(rows)}, {"more", more}};
}

}  // namespace hickorystall::standin
