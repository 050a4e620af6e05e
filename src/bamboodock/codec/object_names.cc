#include <array>

#include "bamboodock/codec/object_set_codec.h"

namespace bamboodock {
namespace {

constexpr std::array<std::string_view, 3> kStageNames{"active", "no_new_sessions", "withdrawn"};
constexpr std::array<std::string_view, 2> kEndpointKindNames{"engine", "service"};

}  // namespace

std::string_view Name(VersionStage stage) {
  return kStageNames.at(static_cast<std::size_t>(stage));
}

std::string_view Name(EndpointKind kind) {
  return kEndpointKindNames.at(static_cast<std::size_t>(kind));
}

}  // namespace bamboodock
