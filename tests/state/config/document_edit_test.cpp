#include "state/config/document_edit.h"

#include <catch2/catch.hpp>

namespace hickorystall::state {
namespace {

const std::string kText =
    "{ // \"vms\": [{\"name\": \"w1\"}]\n"
    "\"rules\": {\"vms\": [{\"name\": \"w1\"}]},\n"
    "\"inventory\": {\n"
    "  \"racks\": [{\"name\": \"w1\"}],\n"
    "  \"vms\": [ /* { */\n"
    "    {\"name\": \"w1\", \"rack\": \"a\\\"}\"}, // first\n"
    "    {\"drained\" : true /* repair */, \"name\": \"w2\"},\n"
    "    {\"name\": \"w3\", \"drained\": false}\n"
    "  ]}}\n";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kText;
  return text.replace(text.find(from), from.size(), to);
}

// Guards against an edit that removes comments or changes another object with the same name.
TEST_CASE("setting the drained flag changes nothing else", "[document_edit]") {
  CHECK(SetDrained(kText, "w1", true) ==
        Replaced("{\"name\": \"w1\", \"rack\"", "{\"drained\": true, \"name\": \"w1\", \"rack\""));
  CHECK(SetDrained(kText, "w2", false) == Replaced("\"drained\" : true", "\"drained\" : false"));
  CHECK(SetDrained(kText, "w3", true) == Replaced("\"drained\": false", "\"drained\": true"));
}

TEST_CASE("a flag that already has the value leaves the text unchanged", "[document_edit]") {
  CHECK(SetDrained(kText, "w1", false) == kText);
  CHECK(SetDrained(kText, "w2", true) == kText);
}

TEST_CASE("a VM that is not in the document is reported", "[document_edit]") {
  CHECK_FALSE(SetDrained(kText, "w4", true).has_value());
  CHECK_FALSE(SetDrained("{}", "w1", true).has_value());
  CHECK_FALSE(SetDrained("", "w1", true).has_value());
}

}  // namespace
}  // namespace hickorystall::state
