#include "state/json/located_json.h"

#include <iterator>

namespace hickorystall::state {
namespace {

using nlohmann::json;

// Iterates over a text and counts the lines read so far.
class line_counting_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  line_counting_iterator(const char* position, int* line) : position_(position), line_(line) {}
  reference operator*() const { return *position_; }
  line_counting_iterator& operator++() {
    if (*position_ == '\n') ++*line_;
    ++position_;
    return *this;
  }
  line_counting_iterator operator++(int) {
    line_counting_iterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const line_counting_iterator& other) const { return position_ == other.position_; }
  bool operator!=(const line_counting_iterator& other) const { return position_ != other.position_; }

 private:
  const char* position_;
  int* line_;
};

// SAX handler that records the line of each key and forwards every event to nlohmann's DOM parser, which
// builds the document.
class locating_handler final : public nlohmann::json_sax<json> {
 public:
  locating_handler(located_json& out, const int& line)
      : out_(out), line_(line), dom_(out.value, /*allow_exceptions_=*/false) {}

  bool null() override { return BeginValue() && dom_.null(); }
  bool boolean(bool value) override { return BeginValue() && dom_.boolean(value); }
  bool number_integer(number_integer_t value) override { return BeginValue() && dom_.number_integer(value); }
  bool number_unsigned(number_unsigned_t value) override {
    return BeginValue() && dom_.number_unsigned(value);
  }
  bool number_float(number_float_t value, const string_t& text) override {
    return BeginValue() && dom_.number_float(value, text);
  }
  bool string(string_t& value) override { return BeginValue() && dom_.string(value); }
  bool binary(binary_t& value) override { return BeginValue() && dom_.binary(value); }

  bool start_object(std::size_t size) override {
    BeginValue();
    scopes_.push_back({Path(), false, 0, "", {}});
    return dom_.start_object(size);
  }
  bool key(string_t& name) override {
    scope& current = scopes_.back();
    current.key = name;
    const std::string path = Path();
    if (!current.keys.insert(name).second) {
      out_.errors.push_back({line_, path, "the key appears twice in this object"});
    }
    out_.lines.emplace(path, line_);
    return dom_.key(name);
  }
  bool end_object() override {
    scopes_.pop_back();
    return dom_.end_object();
  }
  bool start_array(std::size_t size) override {
    BeginValue();
    scopes_.push_back({Path(), true, 0, "", {}});
    return dom_.start_array(size);
  }
  bool end_array() override {
    scopes_.pop_back();
    return dom_.end_array();
  }
  bool parse_error(std::size_t position, const std::string& token, const json::exception& error) override {
    (void)position;
    (void)error;
    out_.errors.push_back({line_, scopes_.empty() ? "" : Path(), "not valid JSON near '" + token + "'"});
    return false;
  }

 private:
  // An object or array whose end was not reached yet.
  struct scope {
    std::string path;
    bool is_array;
    std::size_t next_index;
    std::string key;
    std::set<std::string, std::less<>> keys;
  };

  // Path of the value that is being read.
  std::string Path() const {
    if (scopes_.empty()) return "";
    const scope& current = scopes_.back();
    if (current.is_array) return current.path + "[" + std::to_string(current.next_index - 1) + "]";
    return current.path.empty() ? current.key : current.path + "." + current.key;
  }

  bool BeginValue() {
    if (scopes_.empty() || !scopes_.back().is_array) return true;
    ++scopes_.back().next_index;
    out_.lines.emplace(Path(), line_);
    return true;
  }

  located_json& out_;
  const int& line_;
  nlohmann::detail::json_sax_dom_parser<json> dom_;
  std::vector<scope> scopes_;
};

}  // namespace

std::string document_error::ToString() const {
  return "line " + std::to_string(line) + ": " + (key.empty() ? "document" : key) + ": " + message;
}

located_json ParseLocatedJson(std::string_view text) {
  located_json result;
  int line = 1;
  locating_handler handler(result, line);
  const line_counting_iterator begin(text.data(), &line);
  const line_counting_iterator end(text.data() + text.size(), &line);
  const bool parsed = json::sax_parse(begin, end, &handler, json::input_format_t::json, /*strict=*/true,
                                      /*ignore_comments=*/true);
  if (!parsed) result.value = json(json::value_t::discarded);
  return result;
}

int LineOf(const located_json& document, std::string_view path) {
  while (!path.empty()) {
    const auto found = document.lines.find(path);
    if (found != document.lines.end()) return found->second;
    const std::size_t cut = path.find_last_of(".[");
    path = cut == std::string_view::npos ? std::string_view() : path.substr(0, cut);
  }
  return 1;
}

object_reader::object_reader(const located_json& document, const json& value, std::string path,
                             std::vector<document_error>& errors)
    : document_(document), value_(value), path_(std::move(path)), errors_(errors) {
  if (!value_.is_object()) errors_.push_back({LineOf(document_, path_), path_, "must be an object"});
}

const json* object_reader::Member(std::string_view key) {
  if (!value_.is_object()) return nullptr;
  read_.emplace(key);
  const auto found = value_.find(key);
  return found == value_.end() ? nullptr : &*found;
}

bool object_reader::Read(std::string_view key, std::string& out) {
  const json* member = Member(key);
  if (member == nullptr) return false;
  if (!member->is_string()) {
    Fail(key, "must be a string");
    return false;
  }
  out = member->get<std::string>();
  return true;
}

bool object_reader::Read(std::string_view key, bool& out) {
  const json* member = Member(key);
  if (member == nullptr) return false;
  if (!member->is_boolean()) {
    Fail(key, "must be true or false");
    return false;
  }
  out = member->get<bool>();
  return true;
}

bool object_reader::Read(std::string_view key, int& out, std::int64_t min, std::int64_t max) {
  std::int64_t wide = out;
  if (!Read(key, wide, min, max)) return false;
  out = static_cast<int>(wide);
  return true;
}

bool object_reader::Read(std::string_view key, std::int64_t& out, std::int64_t min, std::int64_t max) {
  const json* member = Member(key);
  if (member == nullptr) return false;
  if (!member->is_number_integer()) {
    Fail(key, "must be a whole number");
    return false;
  }
  const bool too_large =
      member->is_number_unsigned() && member->get<std::uint64_t>() > static_cast<std::uint64_t>(max);
  if (too_large || member->get<std::int64_t>() < min || member->get<std::int64_t>() > max) {
    Fail(key, "must be from " + std::to_string(min) + " to " + std::to_string(max));
    return false;
  }
  out = member->get<std::int64_t>();
  return true;
}

bool object_reader::Read(std::string_view key, double& out, double min, double max) {
  const json* member = Member(key);
  if (member == nullptr) return false;
  if (!member->is_number() || member->get<double>() < min || member->get<double>() > max) {
    Fail(key, "must be a number from " + json(min).dump() + " to " + json(max).dump());
    return false;
  }
  out = member->get<double>();
  return true;
}

bool object_reader::Read(std::string_view key, std::chrono::milliseconds& out, std::chrono::milliseconds min,
                         std::chrono::milliseconds max) {
  std::int64_t count = out.count();
  if (!Read(key, count, min.count(), max.count())) return false;
  out = std::chrono::milliseconds(count);
  return true;
}

bool object_reader::Read(std::string_view key, std::vector<std::string>& out) {
  std::vector<std::string> items;
  bool valid = true;
  const bool present = ReadArray(key, [&](const json& element, const std::string& path) {
    if (element.is_string()) {
      items.push_back(element.get<std::string>());
      return;
    }
    errors_.push_back({LineOf(document_, path), path, "must be a string"});
    valid = false;
  });
  if (!present || !valid) return false;
  out = std::move(items);
  return true;
}

void object_reader::Require(std::string_view key) {
  if (value_.is_object() && !value_.contains(key)) Fail(key, "is required");
}

void object_reader::Fail(std::string_view key, std::string message) {
  const std::string path = PathOf(key);
  errors_.push_back({LineOf(document_, path), path, std::move(message)});
}

void object_reader::Finish() {
  if (!value_.is_object()) return;
  for (const auto& [key, member] : value_.items()) {
    if (!read_.contains(key)) Fail(key, "is not a known key");
  }
}

std::string object_reader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

}  // namespace hickorystall::state
