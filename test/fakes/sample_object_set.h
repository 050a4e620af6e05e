#pragma once

#include <string>

#include "bamboodock/objects/object_set.h"

namespace bamboodock {

/// Objects of a small set that passes the object set checker; tests change single objects.
struct SampleObjectSet {
  ClientAccount account{.id = ClientAccountId("port-office"),
                        .key_hashes = {std::string(64, 'a')},
                        .models = {{ModelId("summary"), {VersionId("summary-1")}}},
                        .services = {ServiceId("records")}};
  Model model{ModelId("summary"),
              {{VersionId("summary-1"), Ratio(0.9)}, {VersionId("summary-2"), Ratio(0.1)}}};
  Version cheap{.id = VersionId("summary-1"),
                .model = ModelId("summary"),
                .cost_per_1k_prompt = CostMicros(100),
                .cost_per_1k_completion = CostMicros(300),
                .kinds = {{"lookup", Ratio(0.95)}}};
  Version expensive{.id = VersionId("summary-2"),
                    .model = ModelId("summary"),
                    .cost_per_1k_prompt = CostMicros(900),
                    .cost_per_1k_completion = CostMicros(2700),
                    .kinds = {}};
  Cascade cascade{.id = CascadeId("summary-auto"),
                  .steps = {{ModelId("summary"), VersionId("summary-1")},
                            {ModelId("summary"), VersionId("summary-2")}}};
  AvailabilityZone zone{AvailabilityZoneId("west"), "north"};
  Endpoint engine{.id = EndpointId("engine-1"),
                  .kind = EndpointKind::kEngine,
                  .service = ServiceId("llm"),
                  .availability_zone = AvailabilityZoneId("west"),
                  .address = "127.0.0.1:7301",
                  .versions = {VersionId("summary-1"), VersionId("summary-2")}};
  Endpoint service{.id = EndpointId("records-1"),
                   .kind = EndpointKind::kService,
                   .service = ServiceId("records"),
                   .availability_zone = AvailabilityZoneId("west"),
                   .address = "127.0.0.1:7302",
                   .versions = {}};

  ObjectSetBuilder Builder() const {
    ObjectSetBuilder builder;
    builder.Add(account).Add(model).Add(cheap).Add(expensive).Add(cascade).Add(zone);
    builder.Add(engine).Add(service);
    return builder;
  }
  Ref<const ObjectSet> Build() const { return Builder().Build(); }
};

}  // namespace bamboodock
