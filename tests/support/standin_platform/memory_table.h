#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace hickorystall::standin {

/// In-memory implementation of the platform's transactional table (docs/design.md, section 4.1). Not
/// thread-safe.
class memory_table {
 public:
  /// Result of a transaction: a commit number, or the rows that prevented the commit.
  struct transact_result {
    /// Commit number, which is also the new version of the rows put; 0 when a condition did not hold.
    std::int64_t commit = 0;
    /// `[{"key","version"}]` with the current version of each row whose condition did not hold.
    nlohmann::json conflicts = nlohmann::json::array();
  };

  /// Applies the body of a transact request atomically. Throws nlohmann::json::exception and applies nothing
  /// when a member is absent or has the wrong type.
  transact_result Transact(const nlohmann::json& body);
  /// Returns `{"key","value","version"}`, or null when the row does not exist.
  nlohmann::json Read(const std::string& key) const;
  /// Returns `{"rows","more"}` with at most `limit` rows, ordered by key, whose keys start with `prefix` and
  /// are greater than `after`.
  nlohmann::json Scan(const std::string& prefix, const std::string& after, std::size_t limit) const;
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
