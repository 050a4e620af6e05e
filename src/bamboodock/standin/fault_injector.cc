#include "bamboodock/standin/fault_injector.h"

#include <array>
#include <string_view>
#include <utility>

namespace bamboodock::standin {
namespace {

constexpr std::array<std::pair<std::string_view, FaultMode>, 9> kModes{{
    {"none", FaultMode::kNone},
    {"down", FaultMode::kDown},
    {"fail", FaultMode::kFail},
    {"slow", FaultMode::kSlow},
    {"lose_answer", FaultMode::kLoseAnswer},
    {"freeze", FaultMode::kFreeze},
    {"cut", FaultMode::kCut},
    {"cold", FaultMode::kCold},
    {"wrong", FaultMode::kWrong},
}};

/// Maximum number of connections held silent at a time, so that threads remain free to serve
/// `POST /faults`.
constexpr Concurrency kMaxHeldConnections{64};
constexpr std::chrono::seconds kMaxHoldTime{120};

}  // namespace

bool FaultInjector::Set(const nlohmann::json& body) {
  if (!body.is_object()) return false;
  Fault fault;
  std::string target;
  bool known = false;
  try {
    const std::string mode = body.at("mode").get<std::string>();
    for (const auto& [name, value] : kModes) {
      if (name != mode) continue;
      fault.mode = value;
      known = true;
    }
    target = body.value("target", "");
    fault.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    fault.count = body.value("count", std::uint64_t{0});
    fault.after_chunks = body.value("after_chunks", std::uint64_t{0});
    fault.ratio = Ratio(body.value("ratio", 1.0));
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  if (!known) return false;
  const std::lock_guard lock(mutex_);
  if (fault.mode == FaultMode::kWrong) {
    wrong_ratio_ = fault.ratio;
    return true;
  }
  if (fault.mode == FaultMode::kNone) wrong_ratio_ = Ratio(0.0);
  if (fault.mode != FaultMode::kCold) faults_[target] = fault;
  return true;
}

Fault FaultInjector::Take(const std::string& target, bool write) {
  const std::lock_guard lock(mutex_);
  const auto found = faults_.find(target);
  if (found == faults_.end()) return {};
  const Fault fault = found->second;
  if (fault.mode == FaultMode::kLoseAnswer && !write) return {};
  if (fault.count == 1) faults_.erase(found);
  if (fault.count > 1) --found->second.count;
  return fault;
}

Fault FaultInjector::TakeForRead(const std::string& target) { return Take(target, false); }

Fault FaultInjector::TakeForWrite(const std::string& target) { return Take(target, true); }

Ratio FaultInjector::WrongRatio() const {
  const std::lock_guard lock(mutex_);
  return wrong_ratio_;
}

bool FaultInjector::Wait(Duration duration) {
  std::unique_lock lock(mutex_);
  return !stop_signal_.wait_for(lock, duration, [this] { return stopped_; });
}

void FaultInjector::HoldConnection() {
  std::unique_lock lock(mutex_);
  if (held_ >= kMaxHeldConnections) return;
  held_ += Concurrency(1);
  stop_signal_.wait_for(lock, kMaxHoldTime, [this] { return stopped_; });
  held_ -= Concurrency(1);
}

void FaultInjector::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  stop_signal_.notify_all();
}

}  // namespace bamboodock::standin
