#include "bamboodock/codec/engine_order.h"

#include <nlohmann/json.hpp>

namespace bamboodock {

std::string EncodeEngineOrder(const EngineOrder& order) {
  return nlohmann::json{{"fencing", order.fencing.value()},
                        {"action", order.action},
                        {"version", order.version.value()}}
      .dump();
}

}  // namespace bamboodock
