#pragma once

#include <vector>

#include "bamboodock/core/ref_counted.h"
#include "bamboodock/objects/availability_zone.h"
#include "bamboodock/objects/cascade.h"
#include "bamboodock/objects/client_account.h"
#include "bamboodock/objects/endpoint.h"
#include "bamboodock/objects/model.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// Immutable set of published objects.
class ObjectSet : public RefCounted<ObjectSet> {
 public:
  const std::vector<ClientAccount>& accounts() const { return accounts_; }
  const std::vector<Model>& models() const { return models_; }
  const std::vector<Version>& versions() const { return versions_; }
  const std::vector<Cascade>& cascades() const { return cascades_; }
  const std::vector<AvailabilityZone>& availability_zones() const { return availability_zones_; }
  const std::vector<Endpoint>& endpoints() const { return endpoints_; }

  /// The lookups return null when no object matches; the result lives as long as the set.
  const ClientAccount* Find(const ClientAccountId& id) const;
  const Model* Find(const ModelId& id) const;
  const Version* Find(const ModelId& model, const VersionId& id) const;
  const Cascade* Find(const CascadeId& id) const;
  const AvailabilityZone* Find(const AvailabilityZoneId& id) const;
  const Endpoint* Find(const EndpointId& id) const;
  const ClientAccount* FindByKeyHash(const std::string& key_hash) const;

 private:
  friend class ObjectSetBuilder;

  std::vector<ClientAccount> accounts_;
  std::vector<Model> models_;
  std::vector<Version> versions_;
  std::vector<Cascade> cascades_;
  std::vector<AvailabilityZone> availability_zones_;
  std::vector<Endpoint> endpoints_;
};

/// Assembles an `ObjectSet`; the checker decides whether it may be published.
class ObjectSetBuilder {
 public:
  ObjectSetBuilder() = default;
  /// Starts from the objects of `base`.
  explicit ObjectSetBuilder(const ObjectSet& base);

  ObjectSetBuilder& Add(ClientAccount account);
  ObjectSetBuilder& Add(Model model);
  ObjectSetBuilder& Add(Version version);
  ObjectSetBuilder& Add(Cascade cascade);
  ObjectSetBuilder& Add(AvailabilityZone zone);
  ObjectSetBuilder& Add(Endpoint endpoint);
  /// Sets the stage of a version; has no effect when it is not in the set.
  ObjectSetBuilder& SetStage(const ModelId& model, const VersionId& version, VersionStage stage);
  /// Marks an availability zone as drained or in service; has no effect when it is not in the set.
  ObjectSetBuilder& SetDrained(const AvailabilityZoneId& zone, bool drained);

  Ref<const ObjectSet> Build() const;

 private:
  ObjectSet set_;
};

}  // namespace bamboodock
