#include "state/json/located_json.h"

#include <catch2/catch.hpp>

namespace hickorystall::state {
namespace {

// Guards against errors that report the wrong line, which would mislead the operator who corrects the
// document.
TEST_CASE("errors carry line and key", "[located_json]") {
  const located_json document = ParseLocatedJson(
      "{\n"
      "  // a comment\n"
      "  \"name\": 5,\n"
      "  \"extra\": true,\n"
      "  \"list\": [\n"
      "    {\"size\": -1}\n"
      "  ]\n"
      "}\n");
  REQUIRE(document.errors.empty());
  std::vector<document_error> errors;
  object_reader reader(document, document.value, "", errors);
  std::string name;
  reader.Read("name", name);
  reader.ReadArray("list", [&](const nlohmann::json& element, const std::string& path) {
    object_reader item(document, element, path, errors);
    int size = 0;
    item.Read("size", size, 0, 10);
    item.Finish();
  });
  reader.Finish();
  REQUIRE(errors.size() == 3);
  CHECK(errors[0].ToString() == "line 3: name: must be a string");
  CHECK(errors[1].ToString() == "line 6: list[0].size: must be from 0 to 10");
  CHECK(errors[2].ToString() == "line 4: extra: is not a known key");
}

// Guards against a second value of a key that silently replaces the first one.
TEST_CASE("a duplicate key is an error", "[located_json]") {
  const located_json document = ParseLocatedJson("{\"a\": 1,\n\"a\": 2}");
  REQUIRE(document.errors.size() == 1);
  CHECK(document.errors[0].ToString() == "line 2: a: the key appears twice in this object");
}

TEST_CASE("text that is not JSON is reported with its line", "[located_json]") {
  const located_json document = ParseLocatedJson("{\n\"a\": ]\n}");
  CHECK(document.value.is_discarded());
  REQUIRE(document.errors.size() == 1);
  CHECK(document.errors[0].line == 2);
}

}  // namespace
}  // namespace hickorystall::state
