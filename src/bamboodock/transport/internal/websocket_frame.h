#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboodock::internal {

/// Masking key of a client frame (RFC 6455, section 5.3); it hides the payload from intermediaries.
using WebSocketMask = std::array<std::uint8_t, 4>;

/// Encodes one binary message of a WebSocket client as a single frame (RFC 6455, section 5.2).
///
/// CivetWeb's client writes header and payload separately on a socket without TCP_NODELAY, so the
/// payload waits 40 ms for the delayed acknowledgement of the header. Writing the frame in one call
/// avoids this delay.
std::string EncodeClientFrame(std::string_view payload, const WebSocketMask& mask);

}  // namespace bamboodock::internal
