#include "bamboodock/transport/internal/websocket_frame.h"

namespace bamboodock::internal {
namespace {

constexpr std::uint8_t kFinalBinary = 0x82;
constexpr std::uint8_t kMasked = 0x80;
constexpr std::size_t kLargestShort = 125;
constexpr std::size_t kLargestMedium = 65535;
constexpr std::uint8_t kMediumLength = 126;
constexpr std::uint8_t kLongLength = 127;
constexpr int kBitsPerByte = 8;

void AppendNumber(std::string& frame, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    frame.push_back(static_cast<char>((value >> (kBitsPerByte * i)) & 0xffU));
  }
}

}  // namespace

std::string EncodeClientFrame(std::string_view payload, const WebSocketMask& mask) {
  std::string frame;
  frame.reserve(payload.size() + 14);
  frame.push_back(static_cast<char>(kFinalBinary));
  if (payload.size() <= kLargestShort) {
    frame.push_back(static_cast<char>(kMasked | payload.size()));
  } else if (payload.size() <= kLargestMedium) {
    frame.push_back(static_cast<char>(kMasked | kMediumLength));
    AppendNumber(frame, payload.size(), 2);
  } else {
    frame.push_back(static_cast<char>(kMasked | kLongLength));
    AppendNumber(frame, payload.size(), 8);
  }
  for (const std::uint8_t byte : mask) frame.push_back(static_cast<char>(byte));
  for (std::size_t i = 0; i < payload.size(); ++i) {
    frame.push_back(static_cast<char>(static_cast<std::uint8_t>(payload[i]) ^ mask[i % 4]));
  }
  return frame;
}

}  // namespace bamboodock::internal
