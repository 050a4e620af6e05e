#pragma once

#include "bamboodock/core/strong_id.h"

namespace bamboodock {

using ClientAccountId = StrongId<struct ClientAccountTag>;
using ModelId = StrongId<struct ModelTag>;
using VersionId = StrongId<struct VersionTag>;
using CascadeId = StrongId<struct CascadeTag>;
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
using EndpointId = StrongId<struct EndpointTag>;
using ServiceId = StrongId<struct ServiceTag>;
using HostId = StrongId<struct HostTag>;
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;
using SessionId = StrongId<struct SessionTag>;
using RouteId = StrongId<struct RouteTag>;
using ApiKey = StrongId<struct ApiKeyTag>;
using PromptPartId = StrongId<struct PromptPartTag>;
using PublicationId = StrongId<struct PublicationTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using ObjectHash = StrongId<struct ObjectHashTag>;
/// One run of a process; each restart gets a new id.
using IncarnationId = StrongId<struct IncarnationTag>;

}  // namespace bamboodock
