#include "bamboodock/policy/waiting_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kRunMs = 500;

WaitingRequest Request(std::uint64_t id, const std::string& account, std::int64_t at_ms,
                       std::int64_t patience_ms, std::uint32_t priority = 1,
                       const std::string& session = "", std::uint64_t size = 1000) {
  return {WaitingId(id), Priority(priority), ClientAccountId(account), SessionId(session),
          Tokens(size),  At(at_ms),          At(at_ms + patience_ms)};
}

/// Selects the next waiting request; the strategies that the queue is compared with.
class Baseline {
 public:
  enum class Kind { kQueue, kFirstCome, kRandom, kPolling };
  explicit Baseline(Kind kind) : kind_(kind) {}

  void Push(const WaitingRequest& request) {
    if (kind_ == Kind::kQueue) {
      queue_.Push(request);
    } else if (kind_ != Kind::kRandom || random_.Uniform() < 0.5) {
      // Refusing at random keeps half of the requests that find the service full.
      list_.push_back(request);
    }
  }
  std::optional<WaitingRequest> Pop(MonotonicTime now) {
    if (kind_ == Kind::kQueue) return queue_.Pop(now);
    if (list_.empty()) return std::nullopt;
    // With polling each waiting request is as likely as any other to ask first.
    const auto next =
        list_.begin() +
        static_cast<std::ptrdiff_t>(kind_ == Kind::kPolling ? random_.Below(list_.size()) : 0);
    const WaitingRequest request = *next;
    list_.erase(next);
    return request;
  }

 private:
  Kind kind_;
  Random random_{1};
  WaitingQueue queue_;
  std::deque<WaitingRequest> list_;
};

/// Service whose slots change in number; runs the requests in steps of 1 ms.
struct Replay {
  std::vector<WaitingRequest> arrivals;
  std::size_t slots = 8;
  std::int64_t slots_lost_at = -1;

  struct Outcome {
    std::map<std::string, std::size_t> in_time;
    std::map<std::string, std::int64_t> longest_wait_ms;
    std::size_t late = 0;
  };

  Outcome Run(Baseline::Kind kind) const {
    Baseline waiting(kind);
    std::multimap<std::int64_t, WaitingId> running;
    Outcome outcome;
    std::size_t next = 0;
    std::size_t capacity = slots;
    for (std::int64_t now = 0; now < 20000; ++now) {
      if (now == slots_lost_at) capacity -= capacity / 4;
      running.erase(running.begin(), running.upper_bound(now));
      for (; next < arrivals.size() && arrivals[next].arrived <= At(now); ++next) {
        waiting.Push(arrivals[next]);
      }
      while (running.size() < capacity) {
        const auto request = waiting.Pop(At(now));
        if (!request) break;
        running.emplace(now + kRunMs, request->id);
        const std::string& account = request->account.value();
        if (At(now) > request->latest_start) {
          ++outcome.late;
          continue;
        }
        ++outcome.in_time[account];
        std::int64_t& longest = outcome.longest_wait_ms[account];
        longest = std::max(longest, ToMillis(At(now) - request->arrived));
      }
    }
    return outcome;
  }
};

}  // namespace

class WaitingQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingQueueTest);
  CPPUNIT_TEST(BurstOfALowClassDoesNotDelayAHigherOne);
  CPPUNIT_TEST(BusyAccountDoesNotStarveOthers);
  CPPUNIT_TEST(LossOfEndpointsLeavesOnlyHopelessRequestsUnserved);
  CPPUNIT_TEST(SmallRequestsDoNotStarveLargeOnes);
  CPPUNIT_TEST(SessionsOfAnAccountTakeTurns);
  CPPUNIT_TEST(RequestThatHasWaitedLongGoesFirst);
  CPPUNIT_TEST(RestoredRequestKeepsItsPlace);
  CPPUNIT_TEST(FullQueueGivesUpTheLastOfTheBusiestAccount);
  CPPUNIT_TEST(ExpiredAndRemovedRequestsAreNotServed);
  CPPUNIT_TEST(EstimatesRequestsAhead);
  CPPUNIT_TEST_SUITE_END();

 public:
  using Kind = Baseline::Kind;

  // Guards against a burst of one class that takes all slots from a more urgent one.
  void BurstOfALowClassDoesNotDelayAHigherOne() {
    Replay replay;
    for (std::uint64_t i = 0; i < 400; ++i) {
      const auto at = static_cast<std::int64_t>(i) * 10;
      replay.arrivals.push_back(Request(2 * i, "batch", at, 3000, 5));
      if (i % 10 == 0) replay.arrivals.push_back(Request(2 * i + 1, "urgent", at, 1000, 0));
    }
    auto queue = replay.Run(Kind::kQueue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, queue.in_time["urgent"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.late);
    for (const Kind kind : {Kind::kFirstCome, Kind::kRandom, Kind::kPolling}) {
      auto other = replay.Run(kind);
      CPPUNIT_ASSERT(other.in_time["urgent"] < 40);
      CPPUNIT_ASSERT(other.late > 0);
      CPPUNIT_ASSERT(other.in_time["urgent"] + other.in_time["batch"] <
                     queue.in_time["urgent"] + queue.in_time["batch"]);
    }
  }

  // Guards against one busy client account that delays the few requests of the others.
  void BusyAccountDoesNotStarveOthers() {
    Replay replay;
    for (std::uint64_t i = 0; i < 200; ++i) {
      replay.arrivals.push_back(Request(1000 + i, "busy", 0, 4000));
    }
    for (std::uint64_t i = 0; i < 20; ++i) {
      const auto at = static_cast<std::int64_t>(i) * 200 + 1;
      replay.arrivals.push_back(Request(i, "few", at, 4000));
    }
    auto queue = replay.Run(Kind::kQueue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, queue.in_time["few"]);
    // Two ends of running requests at most, which all end together.
    CPPUNIT_ASSERT(queue.longest_wait_ms["few"] <= 2 * kRunMs);
    CPPUNIT_ASSERT(replay.Run(Kind::kFirstCome).in_time["few"] < 20);
    CPPUNIT_ASSERT(replay.Run(Kind::kPolling).longest_wait_ms["few"] >
                   queue.longest_wait_ms["few"]);
  }

  // Guards against work that is done for requests that are late already, when a quarter of the
  // slots goes in the midst of a burst.
  void LossOfEndpointsLeavesOnlyHopelessRequestsUnserved() {
    Replay replay;
    replay.slots_lost_at = 1000;
    for (std::uint64_t i = 0; i < 200; ++i) {
      const auto at = static_cast<std::int64_t>(i) * 20;
      replay.arrivals.push_back(Request(i, "a" + std::to_string(i % 5), at, 1500));
    }
    const auto total = [](const Replay::Outcome& outcome) {
      std::size_t sum = 0;
      for (const auto& [account, count] : outcome.in_time) sum += count;
      return sum;
    };
    const auto queue = replay.Run(Kind::kQueue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.late);
    for (const Kind kind : {Kind::kFirstCome, Kind::kPolling}) {
      CPPUNIT_ASSERT(total(queue) > total(replay.Run(kind)));
    }
    CPPUNIT_ASSERT(total(queue) >= total(replay.Run(Kind::kRandom)));
  }

  // Guards against an account that gets more work done because its requests are small.
  void SmallRequestsDoNotStarveLargeOnes() {
    WaitingQueue queue;
    for (std::uint64_t i = 0; i < 120; ++i) queue.Push(Request(i, "small", 0, 9000, 1, "", 400));
    for (std::uint64_t i = 0; i < 12; ++i) {
      queue.Push(Request(200 + i, "large", 0, 9000, 1, "", 12000));
    }
    std::uint64_t large = 0;
    std::uint64_t small = 0;
    for (int i = 0; i < 62; ++i) {
      const std::uint64_t size = queue.Pop(At(1))->size.value();
      (size == 400 ? small : large) += size;
    }
    CPPUNIT_ASSERT(large >= 12000 && small >= 12000);
    CPPUNIT_ASSERT(large <= small + 16000 && small <= large + 16000);
  }

  // Guards against one busy session of an account that delays its other sessions.
  void SessionsOfAnAccountTakeTurns() {
    WaitingQueue queue;
    for (std::uint64_t i = 0; i < 50; ++i) queue.Push(Request(i, "a", 0, 9000, 1, "busy"));
    queue.Push(Request(90, "a", 0, 9000, 1, "few"));
    CPPUNIT_ASSERT(queue.Pop(At(1))->id == WaitingId(0));
    CPPUNIT_ASSERT(queue.Pop(At(1))->id == WaitingId(90));
    CPPUNIT_ASSERT(queue.Pop(At(1))->id == WaitingId(1));
  }

  // Guards against requests with little time that wait for their turn until it is too late, and
  // against a burst that has aged as a whole and keeps the others waiting.
  void RequestThatHasWaitedLongGoesFirst() {
    WaitingQueue queue;
    for (std::uint64_t i = 0; i < 10; ++i) queue.Push(Request(i, "patient", 0, 9000));
    for (std::uint64_t i = 10; i < 20; ++i) queue.Push(Request(i, "hasty", 0, 400));
    CPPUNIT_ASSERT(queue.Pop(At(99))->account == ClientAccountId("patient"));
    std::size_t hasty = 0;
    for (int i = 0; i < 6; ++i) {
      if (queue.Pop(At(100))->account == ClientAccountId("hasty")) ++hasty;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hasty);
  }

  // Guards against a request that loses its place when it is woken and finds no free slot.
  void RestoredRequestKeepsItsPlace() {
    WaitingQueue queue;
    for (std::uint64_t i = 0; i < 6; ++i) {
      queue.Push(Request(i, i % 2 == 0 ? "a" : "b", 0, 9000, 1, "s" + std::to_string(i / 4)));
    }
    const WaitingRequest first = *queue.Pop(At(1));
    const WaitingRequest second = *queue.Pop(At(1));
    queue.Restore(second);
    queue.Restore(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, queue.size());
    CPPUNIT_ASSERT(queue.Pop(At(1))->id == first.id);
    CPPUNIT_ASSERT(queue.Pop(At(1))->id == second.id);
  }

  // Guards against a full queue that shuts out urgent requests and accounts with few requests.
  void FullQueueGivesUpTheLastOfTheBusiestAccount() {
    WaitingQueue queue;
    const std::uint64_t count = WaitingQueue::kCapacity;
    for (std::uint64_t i = 0; i < count; ++i) queue.Push(Request(i, "busy", 0, 9000, 2));
    CPPUNIT_ASSERT(queue.Push(Request(300, "busy", 0, 9000, 2))->id == WaitingId(300));
    CPPUNIT_ASSERT(queue.Push(Request(301, "low", 0, 9000, 3))->id == WaitingId(301));
    CPPUNIT_ASSERT(queue.Push(Request(302, "few", 0, 9000, 2))->id == WaitingId(count - 1));
    CPPUNIT_ASSERT(queue.Push(Request(303, "busy", 0, 9000, 0))->id == WaitingId(count - 2));
    CPPUNIT_ASSERT_EQUAL(WaitingQueue::kCapacity, queue.size());
  }

  // Guards against slots that are given to requests that are late or whose caller has left.
  void ExpiredAndRemovedRequestsAreNotServed() {
    WaitingQueue queue;
    queue.Push(Request(1, "a", 0, 100));
    queue.Push(Request(2, "a", 0, 900));
    queue.Push(Request(3, "b", 0, 900));
    CPPUNIT_ASSERT(queue.NextExpiry() == At(100));
    CPPUNIT_ASSERT(queue.Expire(At(99)).empty());
    CPPUNIT_ASSERT(queue.Expire(At(100)).front().id == WaitingId(1));
    CPPUNIT_ASSERT(queue.Remove(WaitingId(2)) && !queue.Remove(WaitingId(2)));
    CPPUNIT_ASSERT(!queue.Pop(At(901)) && queue.size() == 1);
    CPPUNIT_ASSERT(queue.Pop(At(900))->id == WaitingId(3) && queue.empty());
  }

  // Guards against a refusal because of a backlog that is served after the request.
  void EstimatesRequestsAhead() {
    WaitingQueue queue;
    for (std::uint64_t i = 0; i < 100; ++i) queue.Push(Request(i, "busy", 0, 9000, 2));
    queue.Push(Request(200, "other", 0, 9000, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{101}, queue.Ahead(Priority(2), ClientAccountId("busy")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.Ahead(Priority(2), ClientAccountId("few")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.Ahead(Priority(1), ClientAccountId("few")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.Ahead(Priority(0), ClientAccountId("few")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingQueueTest);

}  // namespace bamboodock
