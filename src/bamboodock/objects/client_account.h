#pragma once

#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Permission of a client account to use a model.
struct ModelGrant {
  ModelId model;
  /// Versions allowed; empty allows every version of the model.
  std::vector<VersionId> versions;
};

/// Customer of the router, with its permissions and limits.
struct ClientAccount {
  ClientAccountId id;
  /// SHA-256 of each API key, in lower-case hexadecimal.
  std::vector<std::string> key_hashes;
  std::vector<ModelGrant> models;
  std::vector<ServiceId> services;
  RequestRate rate{10.0};
  /// Requests that may arrive at once: the capacity of the token bucket that `rate` refills.
  Concurrency burst{20};
  /// Requests open at the same time.
  Concurrency concurrency{32};
  /// Scheduling class; a lower number is served first and shed last.
  int priority = 1;

  /// Whether the account may run `version` of `model`.
  bool Allows(const ModelId& model, const VersionId& version) const;
  bool Allows(const ServiceId& service) const;
};

}  // namespace bamboodock
