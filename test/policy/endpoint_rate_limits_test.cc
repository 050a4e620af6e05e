#include "bamboodock/policy/endpoint_rate_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <list>

#include "policy/at.h"

namespace bamboodock {
namespace {

const EndpointId kEndpoint("e1");
const StartTime kStarted(1);
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kWindowMs = 4000;

HostId Host(std::size_t number) { return HostId("front-" + std::to_string(number)); }

RateLimitStatement Statement(std::optional<RequestRate> limit, std::int64_t at_ms) {
  return {kEndpoint, kStarted, limit, At(at_ms)};
}

/// One entry that always has a request for the endpoint.
struct BusyEntry {
  /// @param unknown The entry does not know of the one with this number.
  BusyEntry(std::size_t self, std::size_t entries, std::size_t unknown) : ranking(Host(self)) {
    std::vector<HostId> peers;
    for (std::size_t i = 0; i < entries; ++i) {
      if (i != self && i != unknown) peers.push_back(Host(i));
    }
    ranking.SetPeers(std::move(peers));
  }

  bool TrySend(std::int64_t now_ms) {
    if (!limits.HasRoom(kEndpoint, kStarted, ranking, At(now_ms))) return false;
    limits.OnSend(kEndpoint, kStarted, ranking, At(now_ms));
    return true;
  }

  EntryRanking ranking;
  EndpointRateLimits limits;
};

/// Most requests in 4 s, and the mean rate, of entries that are always busy.
struct Load {
  std::size_t most = 0;
  double rate = 0;
};

/// Busy entries that hear of each answer at once.
/// @param unknown The others do not know of the entry with this number.
Load MeasureLoad(std::size_t count, double limit, std::size_t unknown) {
  constexpr std::int64_t kTimeMs = 60000;
  std::list<BusyEntry> entries;
  for (std::size_t i = 0; i < count; ++i) entries.emplace_back(i, count, unknown);
  const auto tell_all = [&](std::int64_t at) {
    const RateLimitStatement statement = Statement(RequestRate(limit), at);
    for (BusyEntry& entry : entries) entry.limits.Merge(statement, At(at));
  };
  tell_all(1);
  std::vector<std::int64_t> sends;
  Load load;
  std::size_t window_begin = 0;
  for (std::int64_t now = kStepMs; now < kTimeMs; now += kStepMs) {
    for (BusyEntry& entry : entries) {
      if (entry.TrySend(now)) sends.push_back(now);
    }
    if (!sends.empty() && sends.back() == now) tell_all(now);
    while (window_begin < sends.size() && now - sends[window_begin] >= kWindowMs) ++window_begin;
    load.most = std::max(load.most, sends.size() - window_begin);
  }
  load.rate = static_cast<double>(sends.size()) * 1000 / kTimeMs;
  return load;
}

}  // namespace

class EndpointRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointRateLimitsTest);
  CPPUNIT_TEST(BusyEntriesKeepToTheLimitAndUseIt);
  CPPUNIT_TEST(AnUnknownEntryDoesNotBreakTheLimit);
  CPPUNIT_TEST(OneRequestForEachEntryBreaksTheLimit);
  CPPUNIT_TEST(LimitEndsWithAnAnswerWithoutIt);
  CPPUNIT_TEST(AnswerToAnEarlierRequestDoesNotEndALimit);
  CPPUNIT_TEST(LateReportDoesNotReplaceANewerStatement);
  CPPUNIT_TEST(OldReportIsIgnored);
  CPPUNIT_TEST(LimitBelongsToOneLifetime);
  CPPUNIT_TEST(SilentEndpointIsProbedByOneEntryAfterAnother);
  CPPUNIT_TEST(ChangesAreReportedFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against shares that add up to more than a limit, and against room that no entry uses.
  void BusyEntriesKeepToTheLimitAndUseIt() {
    for (const std::size_t entries : {1, 2, 5, 93, 680}) {
      for (const double limit : {0.0, 0.3, 1.0, 3.2, 40.0}) {
        const Load load = MeasureLoad(entries, limit, entries);
        const std::string text = std::to_string(entries) + " entries, limit " +
                                 std::to_string(limit) + ": " + std::to_string(load.most) +
                                 " in 4 s, rate " + std::to_string(load.rate);
        CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(load.most) <= 1.5 * 4 * limit + 5);
        CPPUNIT_ASSERT_MESSAGE(text, load.rate >= 0.8 * limit && load.rate <= limit + 0.3);
      }
    }
  }

  // Guards against one share too many when a new entry knows the others, and they do not know it.
  void AnUnknownEntryDoesNotBreakTheLimit() {
    for (const std::size_t entries : {3, 4, 5, 6, 93}) {
      for (const double limit : {0.3, 1.0, 3.2}) {
        for (std::size_t unknown = 0; unknown < std::min<std::size_t>(entries, 6); ++unknown) {
          const Load load = MeasureLoad(entries, limit, unknown);
          CPPUNIT_ASSERT(static_cast<double>(load.most) <= 1.5 * 4 * limit + 5);
        }
      }
    }
  }

  // Shows why a token bucket in each entry, with an equal part of the limit, is not enough.
  void OneRequestForEachEntryBreaksTheLimit() {
    constexpr std::size_t kEntries = 93;
    constexpr double kLimit = 3.2;
    std::size_t sent = 0;
    for (std::size_t i = 0; i < kEntries; ++i) {
      TokenBucket bucket(1, At(0));
      if (bucket.TryTake({RequestRate(kLimit / kEntries), 1}, At(0))) ++sent;
    }
    CPPUNIT_ASSERT(static_cast<double>(sent) > 1.5 * 4 * kLimit + 5);
  }

  // Guards against endpoints that stay limited when they take all requests again.
  void LimitEndsWithAnAnswerWithoutIt() {
    EndpointRateLimits limits;
    CPPUNIT_ASSERT(limits.Observe(Statement(RequestRate(2), 1000), At(1000)));
    CPPUNIT_ASSERT(limits.IsLimited(kEndpoint, kStarted));
    CPPUNIT_ASSERT(limits.Observe(Statement(std::nullopt, 1001), At(1500)));
    CPPUNIT_ASSERT(!limits.IsLimited(kEndpoint, kStarted));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limits.limited_count());
  }

  // Guards against a limit that ends with a slow answer, whose request came before the limit.
  void AnswerToAnEarlierRequestDoesNotEndALimit() {
    EndpointRateLimits limits;
    limits.Observe(Statement(RequestRate(2), 1000), At(1000));
    CPPUNIT_ASSERT(!limits.Observe(Statement(std::nullopt, 900), At(1500)));
    CPPUNIT_ASSERT(limits.IsLimited(kEndpoint, kStarted));
  }

  // Guards against a report that was held up on its way and ends a limit that was named since.
  void LateReportDoesNotReplaceANewerStatement() {
    EndpointRateLimits limits;
    limits.Observe(Statement(RequestRate(2), 5000), At(5000));
    CPPUNIT_ASSERT(!limits.Merge(Statement(std::nullopt, 3000), At(6000)));
    CPPUNIT_ASSERT(limits.Merge(Statement(RequestRate(1), 5500), At(6000)));
    CPPUNIT_ASSERT(!limits.Merge(Statement(RequestRate(2), 5000), At(9000)));
  }

  // Guards against limits that entries tell each other for ever after they have ended.
  void OldReportIsIgnored() {
    EndpointRateLimits limits;
    CPPUNIT_ASSERT(!limits.Merge(Statement(RequestRate(2), 1000), At(12000)));
    CPPUNIT_ASSERT(limits.Merge(Statement(RequestRate(2), 3000), At(12000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits.TakeReport(At(12000)).size());
    CPPUNIT_ASSERT(limits.TakeReport(At(14000)).empty());
  }

  // Guards against the limit of an endpoint that has restarted or was replaced.
  void LimitBelongsToOneLifetime() {
    EndpointRateLimits limits;
    limits.Observe(Statement(RequestRate(0), 1000), At(1000));
    CPPUNIT_ASSERT(!limits.IsLimited(kEndpoint, StartTime(2)));
    CPPUNIT_ASSERT(!limits.IsLimited(EndpointId("e2"), kStarted));
  }

  // Guards against endpoints that nobody uses any more when the entries that share the limit have
  // ended, and against all others that try it at the same time.
  void SilentEndpointIsProbedByOneEntryAfterAnother() {
    constexpr std::size_t kEntries = 9;
    std::list<BusyEntry> entries;
    for (std::size_t i = 0; i < kEntries; ++i) entries.emplace_back(i, kEntries, kEntries);
    for (BusyEntry& entry : entries) {
      entry.limits.Merge(Statement(RequestRate(0), 1000), At(1000));
    }
    for (std::int64_t now = 1000; now < 6000; now += kStepMs) {
      for (BusyEntry& entry : entries) CPPUNIT_ASSERT(!entry.TrySend(now));
    }
    for (std::int64_t interval = 0; interval < 12; ++interval) {
      std::size_t probes = 0;
      for (std::int64_t now = 0; now < 5000; now += kStepMs) {
        for (BusyEntry& entry : entries) {
          if (entry.TrySend(6000 + interval * 5000 + now)) ++probes;
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, probes);
    }
  }

  // Guards against changes that are told late because there are many limits.
  void ChangesAreReportedFirst() {
    EndpointRateLimits limits;
    for (int i = 0; i < 60; ++i) {
      limits.Observe({EndpointId("e" + std::to_string(i)), kStarted, RequestRate(1), At(1000)},
                     At(1000));
    }
    for (int i = 0; i < 12; ++i) limits.TakeReport(At(1000 + 250 * i));
    limits.Observe({EndpointId("e30"), kStarted, std::nullopt, At(6000)}, At(6000));
    const auto report = limits.TakeReport(At(6000));
    CPPUNIT_ASSERT_EQUAL(EndpointRateLimits::kMaxReported, report.size());
    CPPUNIT_ASSERT(report.front().endpoint == EndpointId("e30") && !report.front().limit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRateLimitsTest);

}  // namespace bamboodock
