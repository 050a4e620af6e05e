#include "bamboodock/transport/internal/websocket_frame.h"

namespace bamboodock::internal {
namespace {

constexpr std::uint8_t kFinalBinaryFrame = 0x82;
constexpr std::uint8_t kMaskBit = 0x80;
constexpr std::size_t kMaxShortPayload = 125;
constexpr std::size_t kMaxMediumPayload = 65535;
constexpr std::uint8_t kLength16Marker = 126;
constexpr std::uint8_t kLength64Marker = 127;
constexpr int kBitsPerByte = 8;

void AppendBigEndian(std::string& frame, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    frame.push_back(static_cast<char>((value >> (kBitsPerByte * i)) & 0xffU));
  }
}

}  // namespace

std::string EncodeClientFrame(std::string_view payload, const WebSocketMask& mask) {
  std::string frame;
  frame.reserve(payload.size() + 14);
  frame.push_back(static_cast<char>(kFinalBinaryFrame));
  if (payload.size() <= kMaxShortPayload) {
    frame.push_back(static_cast<char>(kMaskBit | payload.size()));
  } else if (payload.size() <= kMaxMediumPayload) {
    frame.push_back(static_cast<char>(kMaskBit | kLength16Marker));
    AppendBigEndian(frame, payload.size(), 2);
  } else {
    frame.push_back(static_cast<char>(kMaskBit | kLength64Marker));
    AppendBigEndian(frame, payload.size(), 8);
  }
  for (const std::uint8_t byte : mask) frame.push_back(static_cast<char>(byte));
  for (std::size_t i = 0; i < payload.size(); ++i) {
    frame.push_back(static_cast<char>(static_cast<std::uint8_t>(payload[i]) ^ mask[i % 4]));
  }
  return frame;
}

}  // namespace bamboodock::internal
