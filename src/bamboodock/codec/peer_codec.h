#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Encodes a report as MessagePack for one datagram. Times are sent as their age at `now`.
std::string EncodePeerReport(const PeerReport& report);
std::string EncodePromptEvidence(const PromptEvidenceReport& report, MonotonicTime now);
std::string EncodeRateLimits(const RateLimitReport& report);

/// Decodes a datagram that arrived at `now`; empty when the bytes are not a message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes, MonotonicTime now);

}  // namespace bamboodock
