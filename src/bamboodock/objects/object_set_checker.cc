#include "bamboodock/objects/object_set_checker.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "bamboodock/objects/object_name.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {
namespace {

/// Allows for the rounding error of decimal shares such as 0.1.
constexpr double kShareTolerance = 1e-6;

constexpr std::size_t kKeyHashLength = 64;

/// Every pair of steps is compared, so their number is bounded like `max_steps`.
constexpr std::size_t kMaxCascadeSteps = 16;

std::string Path(std::string_view list, std::size_t index, std::string_view member = "") {
  std::string path = std::string(list) + "[" + std::to_string(index) + "]";
  if (!member.empty()) path += "." + std::string(member);
  return path;
}

bool IsKeyHash(const std::string& text) {
  return text.size() == kKeyHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string AddressError(const std::string& address) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseAddress(address));
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
}

/// Whether `later` costs less than `earlier` in both prices.
bool IsCheaper(const Version& later, const Version& earlier) {
  return later.cost_per_1k_prompt < earlier.cost_per_1k_prompt &&
         later.cost_per_1k_completion < earlier.cost_per_1k_completion;
}

}  // namespace

bool IsValidId(const std::string& id) {
  constexpr std::size_t kMaxIdLength = 64;
  constexpr std::string_view kAllowed =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
  return !id.empty() && id.size() <= kMaxIdLength &&
         id.find_first_not_of(kAllowed) == std::string::npos;
}

ObjectSetChecker::ObjectSetChecker(const ObjectSet& set) : set_(set) {
  for (const Model& model : set.models()) models_.insert(model.id);
  for (const Version& version : set.versions()) versions_.emplace(version.id, &version);
  for (const AvailabilityZone& zone : set.availability_zones()) zones_.insert(zone.id);
  for (const Endpoint& endpoint : set.endpoints()) {
    services_.emplace(endpoint.service, endpoint.kind);
    served_versions_.insert(endpoint.versions.begin(), endpoint.versions.end());
  }
}

const std::vector<ObjectSetChecker::Rule>& ObjectSetChecker::Rules() {
  static const std::vector<Rule> kRules{&ObjectSetChecker::CheckIds,
                                        &ObjectSetChecker::CheckAccountKeys,
                                        &ObjectSetChecker::CheckAccountGrants,
                                        &ObjectSetChecker::CheckAccountServices,
                                        &ObjectSetChecker::CheckModelShares,
                                        &ObjectSetChecker::CheckVersions,
                                        &ObjectSetChecker::CheckCascades,
                                        &ObjectSetChecker::CheckAvailabilityZones,
                                        &ObjectSetChecker::CheckEndpointLocations,
                                        &ObjectSetChecker::CheckEndpointVersions};
  return kRules;
}

std::vector<ObjectSetError> ObjectSetChecker::Check() {
  errors_.clear();
  for (const Rule rule : Rules()) (this->*rule)();
  return std::move(errors_);
}

template <class Object>
void ObjectSetChecker::Report(const Object& object, std::string field, std::string message) {
  if (errors_.size() > kMaxObjectSetErrors) return;
  if (errors_.size() == kMaxObjectSetErrors) {
    errors_.push_back({"set", "", "too many errors; further errors are not listed"});
    return;
  }
  errors_.push_back({ObjectName(object), std::move(field), std::move(message)});
}

template <class Object>
void ObjectSetChecker::CheckObjectIds(const std::vector<Object>& objects) {
  std::unordered_set<std::string> seen;
  for (const Object& object : objects) {
    if (!IsValidId(object.id.value())) {
      Report(object, "id", "must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
    if (!seen.insert(object.id.value()).second) Report(object, "id", "is used twice");
  }
}

void ObjectSetChecker::CheckIds() {
  CheckObjectIds(set_.accounts());
  CheckObjectIds(set_.models());
  // An endpoint names versions without their model, so version ids are unique over all models.
  CheckObjectIds(set_.versions());
  CheckObjectIds(set_.cascades());
  CheckObjectIds(set_.availability_zones());
  CheckObjectIds(set_.endpoints());
}

void ObjectSetChecker::CheckAccountKeys() {
  std::unordered_map<std::string, const ClientAccount*> owners;
  for (const ClientAccount& account : set_.accounts()) {
    for (std::size_t i = 0; i < account.key_hashes.size(); ++i) {
      const std::string& hash = account.key_hashes[i];
      if (!IsKeyHash(hash)) {
        Report(account, Path("key_hashes", i), "must be 64 lower-case hexadecimal characters");
      }
      const auto [owner, is_new] = owners.emplace(hash, &account);
      if (!is_new) {
        Report(account, Path("key_hashes", i), "is already used by " + ObjectName(*owner->second));
      }
    }
  }
}

void ObjectSetChecker::CheckAccountGrants() {
  for (const ClientAccount& account : set_.accounts()) {
    std::unordered_set<ModelId> seen;
    for (std::size_t i = 0; i < account.models.size(); ++i) {
      if (!seen.insert(account.models[i].model).second) {
        Report(account, Path("models", i, "model"), "is granted twice");
      }
      CheckGrant(account, i);
    }
  }
}

void ObjectSetChecker::CheckGrant(const ClientAccount& account, std::size_t index) {
  const ModelGrant& grant = account.models[index];
  if (!models_.contains(grant.model)) {
    return Report(account, Path("models", index, "model"),
                  "model '" + grant.model.value() + "' does not exist");
  }
  std::unordered_set<VersionId> seen;
  for (std::size_t i = 0; i < grant.versions.size(); ++i) {
    const VersionId& version = grant.versions[i];
    const std::string field = Path("models", index, Path("versions", i));
    if (!seen.insert(version).second) Report(account, field, "is granted twice");
    if (FindVersion(grant.model, version) == nullptr) {
      Report(account, field,
             "version '" + version.value() + "' of model '" + grant.model.value() +
                 "' does not exist");
    }
  }
}

void ObjectSetChecker::CheckAccountServices() {
  for (const ClientAccount& account : set_.accounts()) {
    std::unordered_set<ServiceId> seen;
    for (std::size_t i = 0; i < account.services.size(); ++i) {
      const ServiceId& service = account.services[i];
      if (!seen.insert(service).second) Report(account, Path("services", i), "is granted twice");
      const auto found = services_.find(service);
      if (found == services_.end()) {
        Report(account, Path("services", i), "service '" + service.value() + "' has no endpoint");
      } else if (found->second != EndpointKind::kService) {
        Report(account, Path("services", i),
               "service '" + service.value() + "' is run by engines; grant models instead");
      }
    }
  }
}

void ObjectSetChecker::CheckModelShares() {
  for (const Model& model : set_.models()) {
    // Without shares a model takes no new sessions, for example after all were withdrawn.
    if (model.shares.empty()) continue;
    double sum = 0;
    std::unordered_set<VersionId> seen;
    for (std::size_t i = 0; i < model.shares.size(); ++i) {
      sum += model.shares[i].share.value();
      if (!seen.insert(model.shares[i].version).second) {
        Report(model, Path("shares", i, "version"), "has two shares");
      }
      CheckShare(model, i);
    }
    if (!(std::abs(sum - 1.0) <= kShareTolerance)) {
      Report(model, "shares", "shares sum to " + std::to_string(sum) + " instead of 1");
    }
  }
}

void ObjectSetChecker::CheckShare(const Model& model, std::size_t index) {
  const VersionShare& share = model.shares[index];
  const std::string field = Path("shares", index, "version");
  const std::string name = "version '" + share.version.value() + "'";
  const Version* version = FindVersion(model.id, share.version);
  if (version == nullptr) return Report(model, field, name + " of this model does not exist");
  if (version->stage != VersionStage::kActive) {
    Report(model, field, name + " takes no new sessions and may have no share");
  }
  if (share.share.value() > 0 && !served_versions_.contains(share.version)) {
    Report(model, field, name + " has a share but no endpoint serves it");
  }
}

void ObjectSetChecker::CheckVersions() {
  for (const Version& version : set_.versions()) {
    if (!models_.contains(version.model)) {
      Report(version, "model", "model '" + version.model.value() + "' does not exist");
    }
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < version.kinds.size(); ++i) {
      const std::string& kind = version.kinds[i].kind;
      if (!IsValidId(kind)) {
        Report(version, Path("kinds", i, "kind"),
               "must be 1 to 64 letters, digits, '.', '_' or '-'");
      }
      if (!seen.insert(kind).second) Report(version, Path("kinds", i, "kind"), "is listed twice");
    }
  }
}

void ObjectSetChecker::CheckCascades() {
  for (const Cascade& cascade : set_.cascades()) {
    if (models_.contains(ModelId(cascade.id.value()))) {
      Report(cascade, "id", "is also the id of a model; callers name both in one field");
    }
    if (cascade.steps.empty() || cascade.steps.size() > kMaxCascadeSteps) {
      Report(cascade, "steps", "must hold 1 to 16 steps");
      continue;
    }
    for (std::size_t i = 0; i < cascade.steps.size(); ++i) CheckStep(cascade, i);
  }
}

void ObjectSetChecker::CheckStep(const Cascade& cascade, std::size_t index) {
  const CascadeStep& step = cascade.steps[index];
  if (!models_.contains(step.model)) {
    return Report(cascade, Path("steps", index, "model"),
                  "model '" + step.model.value() + "' does not exist");
  }
  const Version* version = FindVersion(step.model, step.version);
  if (version == nullptr) {
    return Report(cascade, Path("steps", index, "version"),
                  "version '" + step.version.value() + "' of model '" + step.model.value() +
                      "' does not exist");
  }
  for (std::size_t i = 0; i < index; ++i) {
    const CascadeStep& earlier = cascade.steps[i];
    const Version* earlier_version = FindVersion(earlier.model, earlier.version);
    if (earlier_version == version) {
      Report(cascade, Path("steps", index), "repeats step " + std::to_string(i));
    } else if (earlier_version != nullptr && IsCheaper(*version, *earlier_version)) {
      Report(cascade, Path("steps", index),
             "is cheaper than step " + std::to_string(i) +
                 "; steps must be ordered by ascending price");
    }
  }
}

void ObjectSetChecker::CheckAvailabilityZones() {
  for (const AvailabilityZone& zone : set_.availability_zones()) {
    if (!IsValidId(zone.region)) {
      Report(zone, "region", "must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
  }
}

void ObjectSetChecker::CheckEndpointLocations() {
  std::unordered_map<std::string, const Endpoint*> owners;
  for (const Endpoint& endpoint : set_.endpoints()) {
    const auto [owner, is_new] = owners.emplace(endpoint.address, &endpoint);
    if (!is_new) Report(endpoint, "address", "is already used by " + ObjectName(*owner->second));
    const std::string error = AddressError(endpoint.address);
    if (!error.empty()) Report(endpoint, "address", error);
    if (!zones_.contains(endpoint.availability_zone)) {
      Report(endpoint, "availability_zone",
             "availability zone '" + endpoint.availability_zone.value() + "' does not exist");
    }
    if (!IsValidId(endpoint.service.value())) {
      Report(endpoint, "service", "must be 1 to 64 letters, digits, '.', '_' or '-'");
    } else if (services_.at(endpoint.service) != endpoint.kind) {
      Report(endpoint, "kind", "differs from other endpoints of the same service");
    }
    if (endpoint.cold_limit > endpoint.warm_limit) {
      Report(endpoint, "cold_limit", "must not exceed warm_limit");
    }
  }
}

void ObjectSetChecker::CheckEndpointVersions() {
  for (const Endpoint& endpoint : set_.endpoints()) {
    const bool is_engine = endpoint.kind == EndpointKind::kEngine;
    if (is_engine && endpoint.versions.empty()) {
      Report(endpoint, "versions", "an engine must serve at least one version");
    }
    if (!is_engine && !endpoint.versions.empty()) {
      Report(endpoint, "versions", "a plain service serves no versions");
    }
    std::unordered_set<VersionId> seen;
    for (std::size_t i = 0; i < endpoint.versions.size(); ++i) {
      const VersionId& version = endpoint.versions[i];
      if (!seen.insert(version).second) Report(endpoint, Path("versions", i), "is listed twice");
      if (!versions_.contains(version)) {
        Report(endpoint, Path("versions", i), "version '" + version.value() + "' does not exist");
      }
    }
  }
}

const Version* ObjectSetChecker::FindVersion(const ModelId& model, const VersionId& version) const {
  const auto found = versions_.find(version);
  return found != versions_.end() && found->second->model == model ? found->second : nullptr;
}

std::vector<ObjectSetError> CheckObjectSet(const ObjectSet& set) {
  return ObjectSetChecker(set).Check();
}

}  // namespace bamboodock
