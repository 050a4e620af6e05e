#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/objects/object_set.h"
#include "bamboodock/objects/object_set_error.h"

namespace bamboodock {

/// Whether `id` is 1 to 64 letters, digits, dots, underscores or hyphens.
bool IsValidId(const std::string& id);

/// Checks a set as a whole: references, uniqueness and rules between fields.
///
/// The set must outlive the checker. Ranges of single fields are checked by the decoder.
class ObjectSetChecker {
 public:
  explicit ObjectSetChecker(const ObjectSet& set);

  /// All errors of the set, at most `kMaxObjectSetErrors` and a note that further ones are not
  /// listed; empty when the set may be published.
  std::vector<ObjectSetError> Check();

 private:
  using Rule = void (ObjectSetChecker::*)();
  static const std::vector<Rule>& Rules();

  void CheckIds();
  void CheckAccountKeys();
  void CheckAccountGrants();
  void CheckAccountServices();
  void CheckModelShares();
  void CheckVersions();
  void CheckCascades();
  void CheckAvailabilityZones();
  void CheckEndpointLocations();
  void CheckEndpointVersions();

  void CheckGrant(const ClientAccount& account, std::size_t index);
  void CheckShare(const Model& model, std::size_t index);
  void CheckStep(const Cascade& cascade, std::size_t index);

  template <class Object>
  void CheckObjectIds(const std::vector<Object>& objects);
  template <class Object>
  void Report(const Object& object, std::string field, std::string message);

  const Version* FindVersion(const ModelId& model, const VersionId& version) const;

  const ObjectSet& set_;
  std::vector<ObjectSetError> errors_;
  std::unordered_set<ModelId> models_;
  std::unordered_map<VersionId, const Version*> versions_;
  std::unordered_set<AvailabilityZoneId> zones_;
  std::unordered_map<ServiceId, EndpointKind> services_;
  std::unordered_set<VersionId> served_versions_;
};

/// All errors of `set`; empty when it may be published.
std::vector<ObjectSetError> CheckObjectSet(const ObjectSet& set);

}  // namespace bamboodock
