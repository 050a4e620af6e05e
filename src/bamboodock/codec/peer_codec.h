#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Encodes a report as MessagePack for one datagram.
std::string EncodePeerReport(const PeerReport& report);

/// Decodes a report; empty when the bytes are not one.
std::optional<PeerReport> DecodePeerReport(std::string_view bytes);

}  // namespace bamboodock
