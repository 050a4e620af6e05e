#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Order to an engine to load or unload a version.
struct EngineOrder {
  FencingToken fencing;
  /// "load" or "unload".
  std::string action;
  VersionId version;
};

/// Body of `POST /orders` at an engine.
std::string EncodeEngineOrder(const EngineOrder& order);

}  // namespace bamboodock
