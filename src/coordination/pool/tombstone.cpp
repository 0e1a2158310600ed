#include "coordination/pool/tombstone.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

namespace hickorystall::coordination::pool {

namespace {
constexpr char kRefused[] = "refused";
}  // namespace

// A key has at most 200 bytes and the name of a workspace has no limit, so the key has its hash. That of
// std::hash may differ between the builds of VMs that share the store.
std::string TombstoneKey(std::string_view id, std::string_view workspace) {
  const boost::uuids::name_generator_sha1 hash(boost::uuids::ns::oid());
  return std::string(id) + "." + boost::uuids::to_string(hash(std::string(workspace)));
}

std::string EncodeTombstone(std::string_view id, std::string_view workspace) {
  return nlohmann::json{{"id", id}, {"workspace", workspace}}.dump();
}

std::string EncodeRefusal(std::string_view id, std::string_view workspace) {
  return nlohmann::json{{"id", id}, {"workspace", workspace}, {kRefused, true}}.dump();
}

bool IsRefusal(std::string_view value) {
  const nlohmann::json decoded = nlohmann::json::parse(value, nullptr, false);
  return decoded.is_object() && decoded.value(kRefused, nlohmann::json()) == true;
}

}  // namespace hickorystall::coordination::pool
