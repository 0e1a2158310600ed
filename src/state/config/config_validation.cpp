#include "state/config/config_validation.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <string>

#include "state/config/guarantee_check.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kSha256Digits = 64;

// Collects errors and looks up the line of each path.
class error_sink {
 public:
  error_sink(const located_json& document, std::vector<document_error>& errors)
      : document_(document), errors_(errors) {}
  void Add(const std::string& path, std::string message) {
    errors_.push_back({LineOf(document_, path), path, std::move(message)});
  }

 private:
  const located_json& document_;
  std::vector<document_error>& errors_;
};

std::string ElementPath(std::string_view array, std::size_t index, std::string_view key) {
  return StrCat(array, "[", index, "]", key.empty() ? "" : ".", key);
}

// Names are used in row keys and URL paths, where '/' is the separator.
bool IsValidName(std::string_view name) {
  return name.size() <= kMaxNameLength && std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                  c == '_' || c == '.';
         });
}

void CheckName(const std::string& name, const std::string& path, std::set<std::string>& seen,
               error_sink& sink) {
  if (name.empty()) return;
  if (!IsValidName(name)) {
    sink.Add(path, StrCat("\"", name, "\" must consist of letters, digits, '-', '_' and '.', at most ",
                          kMaxNameLength));
  }
  if (!seen.insert(name).second) sink.Add(path, StrCat("the name \"", name, "\" appears twice"));
}

template <typename T>
std::set<std::string> CheckNames(const std::vector<T>& items, std::string_view array, error_sink& sink) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    CheckName(items[i].name, ElementPath(array, i, "name"), seen, sink);
  }
  return seen;
}

std::set<std::string> CheckFailureDomains(const cluster_config& config, error_sink& sink) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < config.failure_domains.size(); ++i) {
    const std::string path = ElementPath("inventory.failure_domains", i, "");
    if (config.failure_domains[i].empty()) sink.Add(path, "must not be empty");
    CheckName(config.failure_domains[i], path, seen, sink);
  }
  return seen;
}

bool ParseDecimal(std::string_view text, int max, int& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  const bool has_sign = text.empty() || text.front() < '0' || text.front() > '9';
  return error == std::errc() && end == text.data() + text.size() && !has_sign && out <= max;
}

// Accepts a dotted IPv4 address or a bracketed IPv6 address with a port. Host names are not accepted, because
// no component resolves names.
bool IsEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  int port = 0;
  if (!ParseDecimal(text.substr(colon + 1), 65535, port) || port == 0) return false;
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    return ip.find_first_not_of("0123456789abcdefABCDEF:.", 1) == ip.size() - 1;
  }
  for (int part = 0; part < 4; ++part) {
    const std::size_t dot = part == 3 ? ip.size() : ip.find('.');
    int value = 0;
    if (dot == std::string_view::npos || !ParseDecimal(ip.substr(0, dot), 255, value)) return false;
    ip.remove_prefix(std::min(dot + 1, ip.size()));
  }
  return true;
}

void CheckVmName(const cluster_config& config, std::size_t index, std::map<std::string, std::size_t>& first,
                 error_sink& sink) {
  const vm_config& vm = config.vms[index];
  if (vm.name.empty()) return;
  const std::string path = ElementPath("inventory.vms", index, "name");
  if (!IsValidName(vm.name)) {
    sink.Add(path, StrCat("\"", vm.name, "\" must consist of letters, digits, '-', '_' and '.', at most ",
                          kMaxNameLength));
  }
  const auto [found, inserted] = first.emplace(vm.name, index);
  if (inserted) return;
  const vm_config& other = config.vms[found->second];
  sink.Add(path, other.rack == vm.rack ? StrCat("the name \"", vm.name, "\" appears twice")
                                       : StrCat("the VM \"", vm.name, "\" is in two racks, \"", other.rack,
                                                "\" and \"", vm.rack, "\""));
}

void CheckVms(const cluster_config& config, const std::set<std::string>& racks, error_sink& sink) {
  std::map<std::string, std::size_t> names;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < config.vms.size(); ++i) {
    const vm_config& vm = config.vms[i];
    CheckVmName(config, i, names, sink);
    if (!vm.rack.empty() && !racks.contains(vm.rack)) {
      sink.Add(ElementPath("inventory.vms", i, "rack"), StrCat("there is no rack \"", vm.rack, "\""));
    }
    if (vm.address.empty()) continue;
    const std::string path = ElementPath("inventory.vms", i, "address");
    if (!IsEndpoint(vm.address)) sink.Add(path, "must be an IP address with a port, such as \"10.0.0.1:80\"");
    if (!addresses.insert(vm.address).second) {
      sink.Add(path, StrCat("the address \"", vm.address, "\" appears twice"));
    }
  }
}

void CheckRacks(const cluster_config& config, const std::set<std::string>& failure_domains,
                error_sink& sink) {
  for (std::size_t i = 0; i < config.racks.size(); ++i) {
    const std::string& name = config.racks[i].failure_domain;
    if (name.empty() || failure_domains.contains(name)) continue;
    sink.Add(ElementPath("inventory.racks", i, "failure_domain"),
             StrCat("there is no failure domain \"", name, "\""));
  }
}

void CheckTokens(const cluster_config& config, error_sink& sink) {
  for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
    const std::string& hash = config.workspaces[i].token_sha256;
    const bool valid =
        hash.size() == kSha256Digits && hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (valid || hash.empty()) continue;
    sink.Add(ElementPath("inventory.workspaces", i, "token_sha256"),
             "must be a SHA-256 as 64 lower-case hexadecimal digits");
  }
}

std::string Describe(const guaranteed_shape& shape) {
  const std::string_view where = shape.placement == adjacency::kRack            ? " in one rack"
                                 : shape.placement == adjacency::kFailureDomain ? " in one failure domain"
                                                                                : "";
  return StrCat(shape.members, " members of ", shape.accelerators, " accelerators", where);
}

}  // namespace

void ValidateReferences(const cluster_config& config, const located_json& document,
                        std::vector<document_error>& errors) {
  error_sink sink(document, errors);
  CheckRacks(config, CheckFailureDomains(config, sink), sink);
  CheckVms(config, CheckNames(config.racks, "inventory.racks", sink), sink);
  CheckNames(config.workspaces, "inventory.workspaces", sink);
  CheckTokens(config, sink);
  CheckNames(config.kinds, "rules.kinds", sink);
}

void ValidateCapacity(const cluster_config& config, const located_json& document,
                      std::vector<document_error>& errors) {
  error_sink sink(document, errors);
  for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
    const workspace_config& workspace = config.workspaces[i];
    std::int64_t guaranteed = 0;
    for (const guaranteed_shape& shape : workspace.guarantees) {
      guaranteed += std::int64_t{shape.members} * shape.accelerators;
    }
    if (workspace.max_accelerators == 0 || guaranteed <= workspace.max_accelerators) continue;
    sink.Add(ElementPath("inventory.workspaces", i, "max_accelerators"),
             StrCat("is less than the ", guaranteed, " accelerators that are guaranteed"));
  }
  for (const guarantee_ref& unplaced : FindUnplaceableGuarantees(config, capacity_scope::kInventory)) {
    const workspace_config& workspace = config.workspaces[unplaced.workspace];
    const std::string array = ElementPath("inventory.workspaces", unplaced.workspace, "guarantees");
    sink.Add(ElementPath(array, unplaced.guarantee, ""),
             StrCat("the guarantees together do not fit the capacity: ",
                    Describe(workspace.guarantees[unplaced.guarantee]),
                    " cannot be placed beside the other guarantees"));
  }
}

}  // namespace hickorystall::state
