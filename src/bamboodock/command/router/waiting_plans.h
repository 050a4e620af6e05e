#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/admission.h"
#include "bamboodock/policy/drain_rate.h"
#include "bamboodock/policy/return_schedule.h"
#include "bamboodock/policy/waiting_queue.h"
#include "bamboodock/query/router/router_status.h"

namespace bamboodock {

/// What a request waits for.
enum class WaitCause : std::uint8_t {
  /// All usable endpoints of the service are full.
  kFull,
  /// A configuration or an endpoint is missing, or the configuration is too old.
  kMissing,
};

std::string_view Name(WaitCause cause);

/// Whether a request is held back instead of being sent.
enum class HoldRule : std::uint8_t {
  kNever,
  kIfFull,
  /// Also while others wait for a slot of the service.
  kIfFullOrOthersWait,
};

/// Why and until when a request waits.
struct WaitTerms {
  WaitCause cause = WaitCause::kFull;
  /// Empty while the service is not known.
  ServiceId service;
  ClientAccountId account;
  Priority priority;
  Tokens work;
  RequestTimes times;
  /// Longest time for which the request waits.
  Duration longest{};
};

/// Decides about one request, without waiting.
class FirstPlanner {
 public:
  virtual ~FirstPlanner() = default;
  virtual PlanAnswer Decide(const PlanQuery& query, HoldRule hold) = 0;
  /// Terms on which a request with this answer waits; empty when the answer is final.
  virtual std::optional<WaitTerms> TermsOfWaiting(const PlanQuery& query,
                                                  const PlanAnswer& answer) = 0;
};

/// Requests that wait for their first plan, in one queue for each service.
///
/// A request is woken when a slot becomes free or what it waits for may be there, which the owner
/// states by `OnChange`. Slots that requests of other entries free show in load reports only, and
/// these come with answers only. So the first request of a queue is sent when none has been for
/// twice the time in which a slot becomes free, although the service seems full: the head of its
/// answer brings a new report.
///
/// Used on the planning duty's thread only.
class WaitingPlans {
 public:
  WaitingPlans(Random random, EventLog& log) : random_(random), log_(log) {}

  /// Queues a request; returns its refusal when it cannot be served in time or finds no place.
  std::optional<Failure> Enter(const PlanQuery& query, const WaitTerms& terms, MonotonicTime now);
  /// Takes the request of the receiver out, whose caller has left.
  void Cancel(const PlanReceiver& receiver);
  /// Records that a waiting request may be served now.
  void OnChange() { changed_ = true; }
  /// Records that an attempt at the service has ended.
  void OnFreed(const ServiceId& service, MonotonicTime now);

  /// Answers of the requests that do not wait any longer.
  std::vector<PlannedAttempt> TakeWoken(FirstPlanner& planner, MonotonicTime now);
  /// When `TakeWoken` is to be called at the latest; `MonotonicTime::max()` when nothing waits.
  MonotonicTime next_due() const { return next_due_; }
  /// Whether requests wait for a slot of the service.
  bool HasWaitingForSlot(const ServiceId& service) const;
  WaitingStatus Status(MonotonicTime now) const;
  /// Drops all requests without an answer, for use when the process ends.
  void Clear();

 private:
  /// Queue in front of one service.
  struct Line {
    WaitingQueue queue;
    std::size_t waiting_for_slot = 0;
    DrainRate drain;
    ReturnSchedule returns;
    /// When the last request left the queue.
    MonotonicTime emptied_at{};
    /// When the first request is tried again without a cause.
    MonotonicTime retry_at{};
  };
  struct Waiter {
    PlanQuery query;
    WaitTerms terms;
    MonotonicTime since;
  };

  static ReturnSchedule::Caller CallerOf(const PlanQuery& query, const WaitTerms& terms);
  static ServiceCondition ConditionOf(const Line& line, const WaitTerms& terms, MonotonicTime now);
  Failure Refuse(Line& line, const PlanQuery& query, const WaitTerms& terms,
                 AdmissionRefusal reason, MonotonicTime now);
  void Expire(Line& line, FirstPlanner& planner, MonotonicTime now);
  void Wake(Line& line, FirstPlanner& planner, bool is_retry, MonotonicTime now);
  /// Ends the wait of a request that has left its queue.
  void Finish(Waiter waiter, PlanAnswer answer, MonotonicTime now);
  /// Removes the record of a request that has left its queue.
  Waiter Release(WaitingId id, MonotonicTime now);
  static Duration RetryInterval(const Line& line, MonotonicTime now);
  void UpdateNextDue();

  Random random_;
  EventLog& log_;
  std::map<ServiceId, Line> lines_;
  std::unordered_map<WaitingId, Waiter> waiters_;
  std::unordered_map<const PlanReceiver*, WaitingId> by_receiver_;
  std::vector<PlannedAttempt> woken_;
  WaitingId last_id_;
  bool changed_ = false;
  MonotonicTime next_due_ = MonotonicTime::max();
  std::uint64_t refused_hopeless_ = 0;
  std::uint64_t refused_queue_full_ = 0;
};

}  // namespace bamboodock
