#include "bamboodock/policy/permission.h"

#include <algorithm>

namespace bamboodock {

std::optional<Failure> CheckVersion(const ObjectSet& set, const PermissionQuery& query) {
  const ClientAccount* account = set.Find(query.account);
  if (account == nullptr) {
    return Failure{ResultCode::kUnauthorized, "the client account is not in the object set"};
  }
  if (!query.service.empty()) {
    if (account->Allows(query.service)) return std::nullopt;
    return Failure{ResultCode::kModelNotAllowed, "the client account may not use the service"};
  }
  const Version* version = set.Find(query.model, query.version);
  if (version == nullptr) {
    return Failure{ResultCode::kUnknownModel, "the model and version are not in the object set"};
  }
  if (!account->Allows(query.model, query.version)) {
    return Failure{ResultCode::kModelNotAllowed, "the client account may not use the version"};
  }
  const bool closed_to_new_session =
      version->stage == VersionStage::kNoNewSessions && !query.continues_session;
  if (version->stage == VersionStage::kWithdrawn || closed_to_new_session) {
    return Failure{ResultCode::kVersionWithdrawn,
                   "the version is withdrawn or accepts no new sessions"};
  }
  return std::nullopt;
}

std::optional<Failure> CheckEndpoint(const ObjectSet& set, const PermissionQuery& query) {
  const Endpoint* endpoint = set.Find(query.endpoint);
  if (endpoint == nullptr) {
    return Failure{ResultCode::kEndpointLeaving, "the endpoint is not in the object set"};
  }
  const AvailabilityZone* zone = set.Find(endpoint->availability_zone);
  if (zone == nullptr || zone->drained) {
    return Failure{ResultCode::kZoneDrained,
                   "the availability zone of the endpoint is drained or not in the object set"};
  }
  const bool serves = query.service.empty()
                          ? std::find(endpoint->versions.begin(), endpoint->versions.end(),
                                      query.version) != endpoint->versions.end()
                          : endpoint->service == query.service;
  if (!serves) {
    return Failure{ResultCode::kVersionNotServed,
                   "the endpoint does not serve the requested version or service"};
  }
  return std::nullopt;
}

std::optional<Failure> CheckPermission(const ObjectSet& set, const PermissionQuery& query) {
  std::optional<Failure> failure = CheckVersion(set, query);
  return failure ? failure : CheckEndpoint(set, query);
}

}  // namespace bamboodock
