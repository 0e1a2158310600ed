#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace hickorystall::standin {

/// The platform's transactional table in memory (docs/design.md, section 4.1). Not thread-safe.
class memory_table {
 public:
  /// Result of a transaction: the commit number, or the conflicting rows when it is 0.
  struct transact_result {
    /// Number of the commit; 0 when a condition did not hold.
    std::int64_t commit = 0;
    /// `[{"key","version"}]` of the rows whose condition did not hold.
    nlohmann::json conflicts = nlohmann::json::array();
  };

  /// Applies the body of a transact request wholly or not at all. Throws nlohmann::json::exception when a
  /// member is absent or has the wrong type; nothing is applied then.
  transact_result Transact(const nlohmann::json& body);
  /// Returns `{"key","value","version"}` of the row, or null.
  nlohmann::json Read(const std::string& key) const;
  /// Returns `{"rows","more"}` with at most `limit` rows whose key starts with `prefix` and follows `after`.
  nlohmann::json Scan(const std::string& prefix, const std::string& after, std::size_t limit) const;
  /// Number of rows.
  std::size_t size() const { return rows_.size(); }

 private:
  struct row {
    std::string value;
    std::int64_t version = 0;
  };
  std::map<std::string, row> rows_;
  std::int64_t last_commit_ = 0;
};

}  // namespace hickorystall::standin
