#pragma once

#include "bamboodock/codec/control_message.h"
#include "bamboodock/command/config/config_duty.h"

namespace bamboodock {

/// Decodes the text of an object set and attaches its publication and epoch; fails with
/// `kBadMessage`.
Result<PublishedSet> DecodePublishedSet(const PublicationId& publication, Epoch epoch,
                                        const std::string& text);

/// Status of this process for a peer whose epoch in force is `known`; contains the set only when
/// this process has a higher epoch.
ConfigStatus ConfigStatusFor(const ConfigSnapshot& snapshot, const HostId& self, Epoch known,
                             MonotonicTime now);

/// Posts the contents of a peer's status to the duty: the set, the prepared sets and the evidence.
///
/// @param asked_at Time at which the query was sent.
void PostPeerStatus(ConfigDuty& duty, const ConfigStatus& status, MonotonicTime asked_at);

}  // namespace bamboodock
