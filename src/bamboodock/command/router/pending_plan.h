#pragma once

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "bamboodock/command/router/route_commands.h"

namespace bamboodock {

/// Place where the network duty waits for a plan; touched by that duty's thread alone.
class PendingPlan final : public PlanReceiver {
 public:
  explicit PendingPlan(const boost::asio::any_io_executor& executor) : timer_(executor) {}

  void OnPlan(PlanAnswer answer) override {
    answer_ = std::move(answer);
    timer_.cancel();
  }

  /// Its wait ends when the answer is there, or at its expiry.
  boost::asio::steady_timer& timer() { return timer_; }
  std::optional<PlanAnswer>& answer() { return answer_; }

 private:
  boost::asio::steady_timer timer_;
  std::optional<PlanAnswer> answer_;
};

}  // namespace bamboodock
