#pragma once

#include "bamboodock/codec/control_message.h"
#include "bamboodock/command/config/config_duty.h"

namespace bamboodock {

/// Decodes a set received with its epoch; fails with `kBadMessage`.
Result<PublishedSet> DecodePublishedSet(const PublicationId& publication, Epoch epoch,
                                        const std::string& text);

/// What this process tells a peer that has `known` in force.
ConfigStatus StatusFor(const ConfigSnapshot& snapshot, const HostId& self, Epoch known,
                       MonotonicTime now);

/// Passes a peer's answer to the duty: set, prepared sets and evidence.
///
/// @param asked_at Time at which the question was sent.
void PostPeerStatus(ConfigDuty& duty, const ConfigStatus& status, MonotonicTime asked_at);

}  // namespace bamboodock
