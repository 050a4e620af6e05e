#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

#include "bamboodock/core/duty.h"

namespace bamboodock::standin {

/// Single writer thread of the state of a role; connection threads wait for the result.
class StateDuty final : public Duty<StateDuty, std::function<void()>> {
 public:
  StateDuty() { Start(); }
  ~StateDuty() { Stop(); }

  /// Runs `change` on the duty's thread and blocks for its result; empty when the ring is full or
  /// the duty stops.
  template <class Change>
  auto Run(Change change) -> std::optional<std::invoke_result_t<Change>> {
    using Outcome = std::invoke_result_t<Change>;
    auto reply = std::make_shared<BoundedRing<Outcome>>(1);
    if (!Post([reply, change = std::move(change)] { reply->TryPush(change()); })) return {};
    return reply->Pop();
  }

  void Handle(std::function<void()>& change) { change(); }
  MonotonicTime Tick() { return std::chrono::steady_clock::now() + std::chrono::hours(1); }
};

}  // namespace bamboodock::standin
