#pragma once

#include <algorithm>
#include <thread>
#include <utility>

#include "bamboodock/config/config.h"
#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/core/clock.h"

namespace bamboodock {

/// Thread that owns one piece of state and takes commands from a bounded ring.
///
/// `Derived` provides `void Handle(Command&)` and `MonotonicTime Tick()`, which does the work that
/// is due and returns the time of the next tick; both run on the thread of the duty. `Start()`
/// starts the thread after construction. A duty whose commands can make work due earlier also
/// provides `MonotonicTime NextDue() const`.
template <class Derived, class Command>
class Duty {
 public:
  explicit Duty(std::size_t capacity = config::kCommandRingCapacity) : ring_(capacity) {}
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  /// Handles the queued commands, then ends and joins the thread. Must be called before the derived
  /// object is destroyed.
  void Stop() {
    ring_.Close();
    if (thread_.joinable()) thread_.join();
  }

  /// Queues a command; false when the ring is full or the duty is stopping. Any thread may call it.
  bool Post(Command command) { return ring_.TryPush(std::move(command)); }

  /// Queues a command, waiting for room until `deadline`; false on timeout or when the duty is
  /// stopping.
  bool PostUntil(Command command, MonotonicTime deadline) {
    return ring_.PushUntil(std::move(command), deadline);
  }

  std::size_t backlog() const { return ring_.size(); }

 protected:
  ~Duty() = default;

 private:
  void Run() {
    auto& self = static_cast<Derived&>(*this);
    MonotonicTime next = self.Tick();
    while (true) {
      std::optional<Command> command = ring_.PopUntil(next);
      if (command) {
        self.Handle(*command);
        if constexpr (requires { self.NextDue(); }) next = std::min(next, self.NextDue());
      } else if (ring_.closed()) {
        return;
      }
      if (std::chrono::steady_clock::now() >= next) next = self.Tick();
    }
  }

  BoundedRing<Command> ring_;
  std::thread thread_;
};

}  // namespace bamboodock
