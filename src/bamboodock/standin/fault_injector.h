#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "bamboodock/core/units.h"

namespace bamboodock::standin {

enum class FaultMode : std::uint8_t {
  kNone,
  /// Refuses with 503; nothing is applied.
  kDown,
  /// Refuses with 500; nothing is applied.
  kFail,
  /// Waits before the work.
  kSlow,
  /// Does the work, then closes without an answer.
  kLoseAnswer,
  /// Goes silent with the connection open.
  kFreeze,
  /// Closes in the middle of the answer.
  kCut,
  /// Turns cold, once.
  kCold,
  /// Makes a share of the answers bad.
  kWrong,
};

/// Fault as set by `POST /faults`.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  Duration delay{0};
  /// Uses after which the fault ends; zero: until changed.
  std::uint64_t count = 0;
  /// Chunks sent before a stream is frozen or cut.
  std::uint64_t after_chunks = 0;
  Ratio ratio{1.0};
};

/// Faults in force, and the waits that a stop ends.
class FaultInjector {
 public:
  /// Sets the fault that `order` describes; false when it is malformed.
  bool Set(const nlohmann::json& order);
  /// Uses the fault of a target once. A lost answer is left in place for the next write.
  Fault TakeForRead(const std::string& target = {});
  Fault TakeForWrite(const std::string& target = {});
  /// Share of answers that are bad.
  Ratio WrongRatio() const;

  /// Waits; false when the process stops first.
  bool Wait(Duration duration);
  /// Keeps a connection silent. Returns on a stop, or early when too many connections are held.
  void HoldConnection();
  /// Ends all waits.
  void Stop();

 private:
  Fault Take(const std::string& target, bool write);

  mutable std::mutex mutex_;
  std::condition_variable stop_signal_;
  std::map<std::string, Fault> faults_;
  Ratio wrong_ratio_{0.0};
  Concurrency held_;
  bool stopped_ = false;
};

}  // namespace bamboodock::standin
