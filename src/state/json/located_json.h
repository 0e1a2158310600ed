#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystall::state {

/// An error in a document, with its location.
struct document_error {
  /// Line number, starting at 1.
  int line = 0;
  /// Path of the key, such as "inventory.vms[3].rack"; empty for the document as a whole.
  std::string key;
  /// Predicate that follows the key, such as "must be a string", or a sentence.
  std::string message;

  /// Returns "line L: KEY: MESSAGE"; KEY is "document" when `key` is empty.
  std::string ToString() const;
};

/// A parsed JSON document with the line of each key.
struct located_json {
  /// The root value; discarded (nlohmann::json::is_discarded) when the text is not valid JSON.
  nlohmann::json value;
  /// Line number by key path.
  std::map<std::string, int, std::less<>> lines;
  /// Syntax errors and duplicate keys, in the order of the document.
  std::vector<document_error> errors;
};

/// Parses `text`, which is JSON with // and /* */ comments. A duplicate key within one object is an error.
located_json ParseLocatedJson(std::string_view text);

/// Reads the members of one JSON object and collects every error instead of stopping at the first. Call a
/// Read function for each known key, then Finish, which reports the remaining keys as unknown.
class object_reader {
 public:
  /// Prepares to read `value`, which is at `path` ("" for the root), and adds an error when it is not an
  /// object. The references must stay valid as long as the reader is used.
  object_reader(const located_json& document, const nlohmann::json& value, std::string path,
                std::vector<document_error>& errors);

  /// Each Read function stores the value of `key` in `out` and returns true. It leaves `out` unchanged and
  /// returns false when the key is absent or invalid; a wrong type or a value out of range adds an error.
  bool Read(std::string_view key, std::string& out);
  bool Read(std::string_view key, bool& out);
  bool Read(std::string_view key, int& out, std::int64_t min, std::int64_t max);
  bool Read(std::string_view key, std::int64_t& out, std::int64_t min, std::int64_t max);
  bool Read(std::string_view key, double& out, double min, double max);
  /// The value in the document is a whole number of milliseconds.
  bool Read(std::string_view key, std::chrono::milliseconds& out, std::chrono::milliseconds min,
            std::chrono::milliseconds max);
  bool Read(std::string_view key, std::vector<std::string>& out);

  /// Marks the member `key` as read and returns it, or null when it is absent.
  const nlohmann::json* Member(std::string_view key);

  /// Calls `read_element(const nlohmann::json&, path)` for each element of the array `key`. Returns false
  /// when the key is absent or not an array.
  template <typename F>
  bool ReadArray(std::string_view key, F read_element) {
    const nlohmann::json* member = Member(key);
    if (member == nullptr) return false;
    if (!member->is_array()) {
      Fail(key, "must be an array");
      return false;
    }
    for (std::size_t i = 0; i < member->size(); ++i) {
      read_element((*member)[i], PathOf(key) + "[" + std::to_string(i) + "]");
    }
    return true;
  }

  /// Adds an error when `key` is absent.
  void Require(std::string_view key);
  /// Adds an error at `key`.
  void Fail(std::string_view key, std::string message);
  /// Adds an error for each key of the object that was not read.
  void Finish();

  /// Returns the path of `key` in the document.
  std::string PathOf(std::string_view key) const;

 private:
  const located_json& document_;
  const nlohmann::json& value_;
  const std::string path_;
  std::vector<document_error>& errors_;
  std::set<std::string, std::less<>> read_;
};

/// Returns the line of `path`, or of the nearest enclosing key with a known line, or 1.
int LineOf(const located_json& document, std::string_view path);

}  // namespace hickorystall::state
