#include "state/config/document_edit.h"

#include <algorithm>
#include <cctype>
#include <vector>

namespace hickorystall::state {
namespace {

// A part of the text.
struct text_span {
  std::size_t begin = 0;
  std::size_t end = 0;
};

// Position in a JSON text with comments that is known to be valid.
class json_cursor {
 public:
  explicit json_cursor(std::string_view text) : text_(text) {}

  std::size_t position() const { return position_; }
  std::string_view Text(const text_span& span) const {
    return text_.substr(span.begin, span.end - span.begin);
  }
  // The next character that is neither white space nor part of a comment; 0 at the end.
  char Peek() {
    SkipBlank();
    return position_ < text_.size() ? text_[position_] : '\0';
  }
  // Passes over `expected` when it is next.
  bool Take(char expected) {
    if (Peek() != expected) return false;
    ++position_;
    return true;
  }
  // Passes over a string and returns it without its quotes, escapes kept.
  text_span TakeString() {
    Take('"');
    const std::size_t begin = position_;
    while (position_ < text_.size() && text_[position_] != '"') position_ += text_[position_] == '\\' ? 2 : 1;
    return {begin, position_++};
  }
  // Passes over any value.
  text_span TakeValue() {
    const char first = Peek();
    const std::size_t begin = position_;
    if (first == '"') {
      TakeString();
    } else if (first == '{' || first == '[') {
      TakeNested();
    } else {
      while (position_ < text_.size() && IsScalarCharacter(text_[position_])) ++position_;
    }
    return {begin, position_};
  }
  // Calls `on_member(key)` before each value of an object; it must pass over the value.
  template <typename F>
  void ForEachMember(F on_member) {
    if (!Take('{')) return;
    while (Peek() == '"') {
      const std::string_view key = Text(TakeString());
      Take(':');
      on_member(key);
      Take(',');
    }
    Take('}');
  }

 private:
  static bool IsScalarCharacter(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '+' || c == '.';
  }
  void SkipBlank() {
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
  void TakeNested() {
    int depth = 0;
    do {
      const char next = Peek();
      if (next == '\0') return;
      if (next == '"') {
        TakeString();
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

// Where the entry of a VM and its flag stand.
struct vm_place {
  // Position after the opening brace.
  std::size_t inside = 0;
  std::string_view name;
  std::optional<text_span> flag;
};

vm_place ReadVm(json_cursor& cursor) {
  vm_place place;
  cursor.Peek();
  place.inside = cursor.position() + 1;
  cursor.ForEachMember([&](std::string_view key) {
    const text_span value = cursor.TakeValue();
    if (key == "name" && value.end - value.begin >= 2) {
      place.name = cursor.Text({value.begin + 1, value.end - 1});
    }
    if (key == "drained") place.flag = value;
  });
  return place;
}

std::vector<vm_place> ReadVms(std::string_view text) {
  std::vector<vm_place> places;
  json_cursor cursor(text);
  cursor.ForEachMember([&](std::string_view key) {
    if (key != "inventory") {
      cursor.TakeValue();
      return;
    }
    cursor.ForEachMember([&](std::string_view inventory_key) {
      if (inventory_key != "vms" || !cursor.Take('[')) {
        cursor.TakeValue();
        return;
      }
      while (cursor.Peek() == '{') {
        places.push_back(ReadVm(cursor));
        cursor.Take(',');
      }
      cursor.Take(']');
    });
  });
  return places;
}

}  // namespace

std::optional<std::string> SetDrained(std::string_view text, std::string_view name, bool drained) {
  for (const vm_place& place : ReadVms(text)) {
    if (place.name != name) continue;
    std::string result(text);
    const std::string flag = drained ? "true" : "false";
    if (place.flag.has_value()) {
      result.replace(place.flag->begin, place.flag->end - place.flag->begin, flag);
    } else if (drained) {
      result.insert(place.inside, "\"drained\": true, ");
    }
    return result;
  }
  return std::nullopt;
}

}  // namespace hickorystall::state
