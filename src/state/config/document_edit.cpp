#include "state/config/document_edit.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace hickorystall::state {
namespace {

// The range [begin, end) of the text.
struct text_span {
  std::size_t begin = 0;
  std::size_t end = 0;
};

// Reads a valid JSON text with comments from front to back.
class json_cursor {
 public:
  explicit json_cursor(std::string_view text) : text_(text) {}

  std::size_t position() const { return position_; }
  std::string_view Text(const text_span& span) const {
    return text_.substr(span.begin, span.end - span.begin);
  }
  // Skips white space and comments and returns the next character without consuming it; 0 at the end.
  char Peek() {
    SkipWhitespaceAndComments();
    return position_ < text_.size() ? text_[position_] : '\0';
  }
  // Consumes `expected` if it is the next character, otherwise returns false.
  bool Consume(char expected) {
    if (Peek() != expected) return false;
    ++position_;
    return true;
  }
  // Consumes a string and returns its content without the quotes. Escapes are not resolved.
  text_span ConsumeString() {
    Consume('"');
    const std::size_t begin = position_;
    while (position_ < text_.size() && text_[position_] != '"') position_ += text_[position_] == '\\' ? 2 : 1;
    return {begin, position_++};
  }
  // Consumes a value of any type.
  text_span ConsumeValue() {
    const char first = Peek();
    const std::size_t begin = position_;
    if (first == '"') {
      ConsumeString();
    } else if (first == '{' || first == '[') {
      ConsumeNested();
    } else {
      while (position_ < text_.size() && IsScalarCharacter(text_[position_])) ++position_;
    }
    return {begin, position_};
  }
  // Consumes an object. Calls `on_member(key)` before each value, which must consume the value.
  template <typename F>
  void ForEachMember(F on_member) {
    if (!Consume('{')) return;
    while (Peek() == '"') {
      const std::string_view key = Text(ConsumeString());
      Consume(':');
      on_member(key);
      Consume(',');
    }
    Consume('}');
  }

 private:
  static bool IsScalarCharacter(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '+' || c == '.';
  }
  void SkipWhitespaceAndComments() {
    while (position_ < text_.size()) {
      if (std::isspace(static_cast<unsigned char>(text_[position_])) != 0) {
        ++position_;
      } else if (text_.substr(position_, 2) == "//") {
        position_ = std::min(text_.find('\n', position_), text_.size());
      } else if (text_.substr(position_, 2) == "/*") {
        position_ = std::min(text_.find("*/", position_ + 2), text_.size() - 2) + 2;
      } else {
        return;
      }
    }
  }
  void ConsumeNested() {
    int depth = 0;
    do {
      const char next = Peek();
      if (next == '\0') return;
      if (next == '"') {
        ConsumeString();
        continue;
      }
      if (next == '{' || next == '[') ++depth;
      if (next == '}' || next == ']') --depth;
      ++position_;
    } while (depth > 0);
  }

  const std::string_view text_;
  std::size_t position_ = 0;
};

// Location of the entry of a VM and of its flag.
struct vm_entry {
  // Position after the opening brace of the entry.
  std::size_t body_begin = 0;
  std::string_view name;
  std::optional<text_span> drained_flag;
};

vm_entry ReadVm(json_cursor& cursor) {
  vm_entry entry;
  cursor.Peek();
  entry.body_begin = cursor.position() + 1;
  cursor.ForEachMember([&](std::string_view key) {
    const text_span value = cursor.ConsumeValue();
    if (key == "name" && value.end - value.begin >= 2) {
      entry.name = cursor.Text({value.begin + 1, value.end - 1});
    }
    if (key == "drained") entry.drained_flag = value;
  });
  return entry;
}

std::vector<vm_entry> ReadVms(std::string_view text) {
  std::vector<vm_entry> entries;
  json_cursor cursor(text);
  cursor.ForEachMember([&](std::string_view key) {
    if (key != "inventory") {
      cursor.ConsumeValue();
      return;
    }
    cursor.ForEachMember([&](std::string_view inventory_key) {
      if (inventory_key != "vms" || !cursor.Consume('[')) {
        cursor.ConsumeValue();
        return;
      }
      while (cursor.Peek() == '{') {
        entries.push_back(ReadVm(cursor));
        cursor.Consume(',');
      }
      cursor.Consume(']');
    });
  });
  return entries;
}

}  // namespace

std::optional<std::string> SetDrained(std::string_view text, std::string_view name, bool drained) {
  for (const vm_entry& entry : ReadVms(text)) {
    if (entry.name != name) continue;
    std::string result(text);
    const std::string flag_text = drained ? "true" : "false";
    if (entry.drained_flag.has_value()) {
      result.replace(entry.drained_flag->begin, entry.drained_flag->end - entry.drained_flag->begin,
                     flag_text);
    } else if (drained) {
      result.insert(entry.body_begin, "\"drained\": true, ");
    }
    return result;
  }
  return std::nullopt;
}

}  // namespace hickorystall::state
