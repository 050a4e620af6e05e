#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bamboodock::internal {

/// Key that hides a client's payload from intermediaries.
using WebSocketMask = std::array<std::uint8_t, 4>;

/// One binary message of a WebSocket client as a single frame (RFC 6455, section 5.2).
///
/// CivetWeb's client writes header and payload separately on a socket without TCP_NODELAY, so the
/// payload waits for the delayed acknowledgement of the header, which takes 40 ms. A frame that is
/// written at once does not wait.
std::string EncodeClientFrame(std::string_view payload, const WebSocketMask& mask);

}  // namespace bamboodock::internal
