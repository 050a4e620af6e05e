#include "bamboodock/objects/client_account.h"

#include <algorithm>

namespace bamboodock {

bool ClientAccount::Allows(const ModelId& model, const VersionId& version) const {
  return std::any_of(models.begin(), models.end(), [&](const ModelGrant& grant) {
    if (grant.model != model) return false;
    return grant.versions.empty() ||
           std::find(grant.versions.begin(), grant.versions.end(), version) != grant.versions.end();
  });
}

bool ClientAccount::Allows(const ServiceId& service) const {
  return std::find(services.begin(), services.end(), service) != services.end();
}

}  // namespace bamboodock
