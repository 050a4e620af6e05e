#pragma once

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "bamboodock/command/router/route_commands.h"

namespace bamboodock {

/// Plan that the network duty is waiting for; used on that duty's thread only.
class PendingPlan final : public PlanReceiver {
 public:
  explicit PendingPlan(const boost::asio::any_io_executor& executor) : timer_(executor) {}

  void OnPlan(PlanAnswer answer) override {
    answer_ = std::move(answer);
    timer_.cancel();
  }

  /// A wait on it ends when the answer has arrived, or when the timer expires.
  boost::asio::steady_timer& timer() { return timer_; }
  std::optional<PlanAnswer>& answer() { return answer_; }

 private:
  boost::asio::steady_timer timer_;
  std::optional<PlanAnswer> answer_;
};

}  // namespace bamboodock
