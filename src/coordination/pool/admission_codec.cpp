#include "coordination/pool/admission_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickorystall::coordination::pool {

using nlohmann::json;
using std::chrono::milliseconds;
using namespace state::pool::admission;  // NOLINT(google-build-using-namespace)
using state::pool::resources;

namespace {

constexpr char kServices[] = "s";
constexpr char kBeyondGuarantee[] = "g";
constexpr char kAge[] = "age";
// Fields of a service before its waits: the name, and two amounts of three resources.
constexpr std::size_t kServiceFields = 7;
// Fields of a wait: priority, wait for cores, usual time. A fourth one is the wait for accelerators, which
// programs that know only one wait do not write.
constexpr std::size_t kWaitFields = 3;

json EncodeService(const service_projection& service) {
  json entry = json::array({service.service});
  for (const resources& free : {service.largest_free, service.total_free}) {
    entry.push_back(free.cpu_millis);
    entry.push_back(free.memory_mib);
    entry.push_back(free.accelerators);
  }
  for (const projected_wait& wait : service.waits) {
    entry.push_back(json::array(
        {wait.priority, wait.core_wait.count(), wait.typical_time.count(), wait.accelerator_wait.count()}));
  }
  return entry;
}

bool AreIntegers(const json& array, std::size_t begin, std::size_t end) {
  return std::all_of(array.begin() + static_cast<std::ptrdiff_t>(begin),
                     array.begin() + static_cast<std::ptrdiff_t>(end),
                     [](const json& field) { return field.is_number_integer(); });
}

std::optional<service_projection> DecodeService(const json& entry) {
  if (!entry.is_array() || entry.size() <= kServiceFields || !entry[0].is_string() ||
      !AreIntegers(entry, 1, kServiceFields))
    return std::nullopt;
  service_projection service;
  service.service = entry[0].get<std::string>();
  service.largest_free = {entry[1], entry[2], entry[3]};
  service.total_free = {entry[4], entry[5], entry[6]};
  for (std::size_t i = kServiceFields; i < entry.size(); ++i) {
    const json& wait = entry[i];
    if (!wait.is_array() || wait.size() < kWaitFields || !AreIntegers(wait, 0, kWaitFields))
      return std::nullopt;
    projected_wait decoded;
    decoded.priority = wait[0].get<int>();
    decoded.core_wait = milliseconds(wait[1].get<std::int64_t>());
    decoded.typical_time = milliseconds(wait[2].get<std::int64_t>());
    if (wait.size() > kWaitFields && wait[kWaitFields].is_number_integer())
      decoded.accelerator_wait = milliseconds(wait[kWaitFields].get<std::int64_t>());
    service.waits.push_back(decoded);
  }
  return service;
}

}  // namespace

json EncodeProjection(const admission_projection& projection, milliseconds age) {
  std::vector<const service_projection*> services;
  for (const service_projection& service : projection.services) {
    if (!service.waits.empty()) services.push_back(&service);
  }
  std::stable_sort(services.begin(), services.end(), [](const auto* left, const auto* right) {
    return left->waits.back().LongestWait() > right->waits.back().LongestWait();
  });
  json value{{kServices, json::array()}, {kBeyondGuarantee, json::array()}, {kAge, age.count()}};
  const auto append = [&value](const char* list, json entry) {
    value[list].push_back(std::move(entry));
    if (value.dump().size() > kMaxProjectionBytes) value[list].erase(value[list].size() - 1);
  };
  for (const service_projection* service : services) append(kServices, EncodeService(*service));
  for (const std::string& workspace : projection.beyond_guarantee) append(kBeyondGuarantee, workspace);
  return value;
}

stored_projection DecodeProjection(const json& value) {
  stored_projection stored;
  if (!value.is_object()) return stored;
  const json age = value.value(kAge, json());
  const json services = value.value(kServices, json());
  const json workspaces = value.value(kBeyondGuarantee, json());
  // Without its age a projection cannot be used.
  if (!age.is_number_integer() || age.get<std::int64_t>() < 0 || !services.is_array()) return stored;
  stored.age = milliseconds(age.get<std::int64_t>());
  for (const json& entry : services) {
    std::optional<service_projection> service = DecodeService(entry);
    if (service) stored.projection.services.push_back(*std::move(service));
  }
  if (!workspaces.is_array()) return stored;
  for (const json& workspace : workspaces) {
    if (workspace.is_string()) stored.projection.beyond_guarantee.push_back(workspace.get<std::string>());
  }
  return stored;
}

}  // namespace hickorystall::coordination::pool
