#pragma once

#include <vector>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/routing/directory_codec.h"

namespace bamboodock {

/// Decodes rows of the store into changes for the planning duty. Rows that cannot be read are
/// logged and left out.
class RowDecoder {
 public:
  RowDecoder(const DirectoryCodec& codec, EventLog& log) : codec_(codec), log_(log) {}

  std::vector<OperatorRow> DecodeOperator(const std::vector<StoreRow>& rows) const;
  /// A registration that cannot be read removes its endpoint.
  EndpointDelta DecodeEndpoints(const std::vector<StoreRow>& rows) const;
  RouterDelta DecodeRouter(const std::vector<StoreRow>& rows) const;

 private:
  const DirectoryCodec& codec_;
  EventLog& log_;
};

}  // namespace bamboodock
