#include "bamboodock/policy/permission.h"

#include <algorithm>

namespace bamboodock {

std::optional<Failure> CheckVersion(const ObjectSet& set, const WorkQuery& work) {
  const ClientAccount* account = set.Find(work.account);
  if (account == nullptr) {
    return Failure{ResultCode::kUnauthorized, "the client account is not in the object set"};
  }
  if (!work.service.empty()) {
    if (account->Allows(work.service)) return std::nullopt;
    return Failure{ResultCode::kModelNotAllowed, "the client account may not use the service"};
  }
  const Version* version = set.Find(work.model, work.version);
  if (version == nullptr) {
    return Failure{ResultCode::kUnknownModel, "the model and version are not in the object set"};
  }
  if (!account->Allows(work.model, work.version)) {
    return Failure{ResultCode::kModelNotAllowed, "the client account may not use the version"};
  }
  const bool closed_to_new_session =
      version->stage == VersionStage::kNoNewSessions && !work.continues_session;
  if (version->stage == VersionStage::kWithdrawn || closed_to_new_session) {
    return Failure{ResultCode::kVersionWithdrawn,
                   "the version is withdrawn or accepts no new sessions"};
  }
  return std::nullopt;
}

std::optional<Failure> CheckEndpoint(const ObjectSet& set, const WorkQuery& work) {
  const Endpoint* endpoint = set.Find(work.endpoint);
  if (endpoint == nullptr) {
    return Failure{ResultCode::kEndpointLeaving, "the endpoint is not in the object set"};
  }
  const AvailabilityZone* zone = set.Find(endpoint->availability_zone);
  if (zone == nullptr || zone->drained) {
    return Failure{ResultCode::kZoneDrained,
                   "the availability zone of the endpoint is drained or not in the object set"};
  }
  const bool serves = work.service.empty()
                          ? std::find(endpoint->versions.begin(), endpoint->versions.end(),
                                      work.version) != endpoint->versions.end()
                          : endpoint->service == work.service;
  if (!serves) {
    return Failure{ResultCode::kVersionNotServed,
                   "the endpoint does not serve the requested version or service"};
  }
  return std::nullopt;
}

std::optional<Failure> CheckPermission(const ObjectSet& set, const WorkQuery& work) {
  std::optional<Failure> failure = CheckVersion(set, work);
  return failure ? failure : CheckEndpoint(set, work);
}

}  // namespace bamboodock
