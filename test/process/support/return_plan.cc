#include "process/support/return_plan.h"

#include <algorithm>
#include <random>

namespace bamboodock::process_test {
namespace {

/// Outage after which the store returns from a copy.
struct StoreReturn {
  PlayTime copy{};
  PlayTime away{};
  PlayTime back{};
  /// When the operator writes again.
  PlayTime rewritten{};
  /// Endpoints write again from then on, each at a time of its own.
  PlayTime restated{};
};

constexpr PlayTime kEnd{17000};
constexpr PlayTime kRenewInterval{1000};
/// The operator and the endpoints write again within this time after the return.
constexpr PlayTime kRewriteLimit{2000};

/// Chooses the steps. The results of `std::mt19937_64` are the same on all machines, those of the
/// distributions of the standard library are not.
class Planner {
 public:
  explicit Planner(std::uint64_t seed) : random_(seed) {}

  ReturnPlan Make() {
    PlanReturns();
    PlanConfigs();
    PlanEndpoints();
    std::stable_sort(plan_.steps.begin(), plan_.steps.end(),
                     [](const PlayStep& a, const PlayStep& b) { return a.at < b.at; });
    return plan_;
  }

 private:
  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }
  PlayTime Between(std::int64_t begin, std::int64_t end) {
    return PlayTime(begin +
                    static_cast<std::int64_t>(Below(static_cast<std::uint64_t>(end - begin))));
  }
  PlayTime Between(PlayTime begin, PlayTime end) { return Between(begin.count(), end.count()); }
  void Add(PlayTime at, PlayAction action, std::size_t argument = 0) {
    plan_.steps.push_back({at, action, argument});
  }

  void PlanReturns() {
    PlayTime away = Between(4500, 6000);
    const std::size_t count = 2 + Below(2);
    for (std::size_t i = 0; i < count; ++i) {
      StoreReturn next;
      next.away = away;
      next.back = away + Between(300, 1500);
      next.rewritten = next.back + Between(50, kRewriteLimit.count());
      next.restated = next.back + Between(50, 1000);
      // In some plays the next return comes within seconds and from the same copy.
      const bool is_soon = OneIn(3);
      away = next.back + (is_soon ? Between(500, 2500) : Between(4500, 5500));
      PlanCopy(next, i > 0 && next.away - returns_.back().back < PlayTime(3000));
      PlanFreeze(next);
      returns_.push_back(next);
      if (i > 0 && away > kEnd - PlayTime(5000)) break;
    }
  }

  void PlanCopy(StoreReturn& next, bool keeps_copy) {
    enum Loss { kNothing, kWrites, kMany };
    const Loss loss = OneIn(4) ? kNothing : OneIn(3) ? kWrites : kMany;
    next.copy = loss == kNothing ? next.away : next.away - Between(1000, 4000);
    if (keeps_copy) {
      next.copy = returns_.back().copy;
    } else {
      Add(next.copy, PlayAction::kTakeCopy);
    }
    const std::size_t lost = loss == kMany ? 10 + Below(31) : 0;
    if (lost > 0) Add(next.away - PlayTime(900), PlayAction::kSkipRevisions, lost);
    Add(next.away, PlayAction::kGoAway);
    // A store that has passed the old revisions before the first call comes answers no call with
    // 410.
    Add(next.back, PlayAction::kReturn, OneIn(3) ? lost + 60 : 0);
  }

  void PlanFreeze(const StoreReturn& next) {
    if (!OneIn(3)) return;
    const std::size_t router = Below(kPlayRouters);
    Add(next.away - Between(0, 700), PlayAction::kFreeze, router);
    Add(next.back + Between(200, 2500), PlayAction::kWake, router);
  }

  /// The time itself, or one after the store is back and the writer has written again.
  PlayTime WhenWritable(PlayTime at, PlayTime StoreReturn::*resumed) {
    for (const StoreReturn& one : returns_) {
      if (at >= one.away && at <= one.*resumed) at = one.*resumed + Between(50, 400);
    }
    return at;
  }

  /// Whether the store is up at that time, so that a writer can write.
  bool IsUp(PlayTime at) const {
    return std::none_of(returns_.begin(), returns_.end(),
                        [&](const StoreReturn& one) { return at >= one.away && at <= one.back; });
  }

  void AddChange(PlayTime at) {
    Add(WhenWritable(at, &StoreReturn::rewritten), PlayAction::kChangeConfig);
  }

  void PlanConfigs() {
    for (PlayTime at = Between(500, 1500); at < kEnd; at += Between(300, 1400)) {
      AddChange(at);
    }
    for (const StoreReturn& one : returns_) {
      // Changes that the store loses: one that entries have read, and one that they may not have.
      AddChange(one.away - Between(500, 1000));
      if (OneIn(2)) AddChange(one.away - Between(5, 60));
      // Another return may come before the operator has written again.
      const std::size_t all = Below(2);
      if (IsUp(one.rewritten)) Add(one.rewritten, PlayAction::kRewriteConfig, all);
    }
  }

  void PlanEndpoints() {
    for (std::size_t i = 0; i < kPlayEndpoints; ++i) {
      PlayTime begin{};
      if (i >= plan_.first_endpoints) {
        begin = WhenWritable(NearReturn(), &StoreReturn::restated);
        Add(begin, PlayAction::kRegister, i);
      }
      plan_.alive.insert(i);
      if (i < 3) PlanLeaving(i);
      for (PlayTime at = begin + Between(200, 1200); at < kEnd; at += kRenewInterval) {
        if (IsUp(at)) Add(at, PlayAction::kRenew, i);
      }
      for (const StoreReturn& one : returns_) {
        const PlayTime at = one.restated + Between(0, 950);
        if (IsUp(at)) Add(at, PlayAction::kRestate, i);
      }
    }
  }

  void PlanLeaving(std::size_t endpoint) {
    PlayTime drain = NearReturn();
    PlayTime remove = drain + Between(500, 3000);
    if (endpoint == 0) {
      // All entries have read the removal, and the copy holds the endpoint as ready.
      const StoreReturn& one = *std::max_element(returns_.begin(), returns_.end(),
                                                 [](const StoreReturn& a, const StoreReturn& b) {
                                                   return a.away - a.copy < b.away - b.copy;
                                                 });
      drain = one.copy + Between(10, 200);
      remove = drain + Between(100, 700);
    }
    drain = WhenWritable(drain, &StoreReturn::restated);
    remove = WhenWritable(std::max(remove, drain + PlayTime(50)), &StoreReturn::restated);
    Add(drain, PlayAction::kDrain, endpoint);
    Add(remove, PlayAction::kRemove, endpoint);
    plan_.alive.erase(endpoint);
  }

  /// A time from seconds before a return on until shortly after it.
  PlayTime NearReturn() {
    const StoreReturn& one = returns_[Below(returns_.size())];
    return OneIn(4) ? Between(1500, 14000) : Between(one.away - PlayTime(3200), one.back);
  }

  std::mt19937_64 random_;
  ReturnPlan plan_;
  std::vector<StoreReturn> returns_;
};

}  // namespace

ReturnPlan MakeReturnPlan(std::uint64_t seed) { return Planner(seed).Make(); }

}  // namespace bamboodock::process_test
