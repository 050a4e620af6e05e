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
  /// Responds with 503; nothing is applied.
  kDown,
  /// Responds with 500; nothing is applied.
  kFail,
  /// Delays the request before it is processed.
  kSlow,
  /// Processes the request, then closes the connection without a response.
  kLoseAnswer,
  /// Stops sending and keeps the connection open.
  kFreeze,
  /// Closes the connection in the middle of the response.
  kCut,
  /// Makes the engine or service cold once, when the fault is set.
  kCold,
  /// Makes a share of the answers bad.
  kWrong,
};

/// Fault set by `POST /faults`.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  Duration delay{0};
  /// Number of uses after which the fault ends; with zero it lasts until it is replaced.
  std::uint64_t count = 0;
  /// Chunks sent before a stream is frozen or cut.
  std::uint64_t after_chunks = 0;
  /// Share of bad answers, for `kWrong`.
  Ratio ratio{1.0};
};

/// Active faults by target, and the waits that they cause. Thread-safe.
class FaultInjector {
 public:
  /// Sets the fault that the body of `POST /faults` describes; false when the body is malformed or
  /// its mode is unknown.
  bool Set(const nlohmann::json& body);
  /// Returns the active fault of a target and counts one use. A read leaves `kLoseAnswer` unused
  /// for the next write.
  Fault TakeForRead(const std::string& target = {});
  Fault TakeForWrite(const std::string& target = {});
  /// Share of answers that are made bad.
  Ratio WrongRatio() const;

  /// Blocks for `duration`; false when `Stop` is called first.
  bool Wait(Duration duration);
  /// Blocks the connection's thread until `Stop` or the maximum hold time. Returns at once when too
  /// many connections are held already.
  void HoldConnection();
  /// Ends all waits, present and future.
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
