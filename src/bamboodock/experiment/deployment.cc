#include "bamboodock/experiment/deployment.h"

namespace bamboodock::experiment {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A small, a medium and a large open model with prices in the ratio 1 : 5 : 30.
std::vector<VersionParameters> ThreeVersions() {
  return {
      {VersionId("small"), CostMicros(50), CostMicros(150), 0.62, microseconds(20),
       milliseconds(10)},
      {VersionId("medium"), CostMicros(250), CostMicros(750), 0.82, microseconds(50),
       milliseconds(20)},
      {VersionId("large"), CostMicros(1500), CostMicros(4500), 1.0, microseconds(120),
       milliseconds(35)},
  };
}

}  // namespace

Deployment Nilemark() {
  Deployment deployment;
  deployment.name = "nilemark";
  deployment.zones = {AvailabilityZoneId("alex-west"), AvailabilityZoneId("alex-east"),
                      AvailabilityZoneId("alex-mid")};
  deployment.inter_zone_delay = microseconds(500);
  deployment.entries = 3;
  deployment.quality_target = Ratio(0.92);
  deployment.kinds = {
      {RequestKind("dossier_summary"),
       Ratio(0.20),
       {9000, 0.6},
       {450, 0.4},
       Ratio(0.85),
       150,
       4,
       5,
       seconds(90)},
      {RequestKind("origin_declaration"),
       Ratio(0.35),
       {1500, 0.5},
       {300, 0.4},
       Ratio(0.6),
       60,
       2,
       5,
       seconds(60)},
      {RequestKind("species_verdict"),
       Ratio(0.15),
       {800, 0.4},
       {120, 0.5},
       Ratio(0.5),
       40,
       5,
       4,
       seconds(60)},
      {RequestKind("lookup_answer"),
       Ratio(0.30),
       {400, 0.4},
       {80, 0.4},
       Ratio(0.7),
       20,
       1,
       8,
       seconds(30)},
  };
  deployment.versions = ThreeVersions();
  return deployment;
}

Deployment Emva() {
  Deployment deployment;
  deployment.name = "emva";
  deployment.zones = {AvailabilityZoneId("valle-aburra"), AvailabilityZoneId("oriente"),
                      AvailabilityZoneId("occidente"), AvailabilityZoneId("norte")};
  deployment.inter_zone_delay = microseconds(1500);
  deployment.entries = 4;
  deployment.quality_target = Ratio(0.90);
  deployment.kinds = {
      {RequestKind("inspection_notice"),
       Ratio(0.30),
       {2500, 0.5},
       {400, 0.4},
       Ratio(0.7),
       120,
       3,
       5,
       seconds(40)},
      {RequestKind("owner_answer"),
       Ratio(0.45),
       {900, 0.6},
       {180, 0.5},
       Ratio(0.6),
       80,
       2,
       6,
       seconds(30)},
      {RequestKind("photo_tag"),
       Ratio(0.25),
       {1200, 0.2},
       {30, 0.4},
       Ratio(0.3),
       10,
       2,
       8,
       seconds(20)},
  };
  deployment.versions = ThreeVersions();
  return deployment;
}

}  // namespace bamboodock::experiment
