#include "bamboodock/objects/version_withdrawal.h"

#include <utility>

namespace bamboodock {
namespace {

/// Shares without `version`, scaled to sum to 1; empty when no other version has a share.
std::vector<VersionShare> SharesWithout(const std::vector<VersionShare>& shares,
                                        const VersionId& version) {
  double sum = 0;
  std::vector<VersionShare> kept;
  for (const VersionShare& share : shares) {
    if (share.version == version) continue;
    sum += share.share.value();
    kept.push_back(share);
  }
  if (sum <= 0) return {};
  for (VersionShare& share : kept) share.share = Ratio(share.share.value() / sum);
  return kept;
}

}  // namespace

Ref<const ObjectSet> WithVersionStage(const ObjectSet& set, const ModelId& model,
                                      const VersionId& version, VersionStage stage) {
  ObjectSetBuilder builder;
  for (const ClientAccount& account : set.accounts()) builder.Add(account);
  for (Model copy : set.models()) {
    if (copy.id == model && stage != VersionStage::kActive) {
      copy.shares = SharesWithout(copy.shares, version);
    }
    builder.Add(std::move(copy));
  }
  for (const Version& entry : set.versions()) builder.Add(entry);
  for (const Cascade& cascade : set.cascades()) builder.Add(cascade);
  for (const AvailabilityZone& zone : set.availability_zones()) builder.Add(zone);
  for (const Endpoint& endpoint : set.endpoints()) builder.Add(endpoint);
  builder.SetStage(model, version, stage);
  return builder.Build();
}

}  // namespace bamboodock
