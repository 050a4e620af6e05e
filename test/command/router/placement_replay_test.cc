#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>

#include "bamboodock/command/router/endpoint_pool.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

const ServiceId kService("s1");
constexpr std::size_t kEndpoints = 24;
constexpr std::size_t kEntries = 4;
constexpr Tokens kHeavyWork{12000};
/// Of the smallest model, at the price of the most expensive one.
constexpr Tokens kShortWork{40};
/// Prompt tokens that an engine reads in a millisecond at the usual pace.
constexpr double kTokensPerMs = 16;
constexpr std::int64_t kDecodeMs = 2000;
constexpr double kObjectiveMs = 3000;
constexpr std::int64_t kLearningMs = 10000;

EndpointId Id(std::size_t number) { return EndpointId("e" + std::to_string(number)); }

enum class Rule { kByTime, kWithoutPace, kLeastLoad, kTwoChoices };

/// Slowdown of a host at a time: 0.7 to 1.9 in the long run, and 2.5 times that in 15% of the
/// periods of 600 ms.
double SlowdownAt(std::size_t host, std::int64_t ms) {
  const double usual = 0.7 * std::pow(2.7, static_cast<double>(host * 7 % kEndpoints) / 23.0);
  Random spell(host * 100003 + static_cast<std::uint64_t>(ms / 600));
  return spell.Uniform() < 0.15 ? usual * 2.5 : usual;
}

struct Open {
  std::int64_t at;
  bool is_end;
  std::size_t host;
  std::size_t entry;
  Tokens work;
  bool operator<(const Open& other) const { return at > other.at; }
};

/// Engines that read one prompt at a time, and entries that exchange reports every 250 ms and hear
/// of an endpoint with the heads of its answers.
class Replay {
 public:
  explicit Replay(Rule rule) : rule_(rule) {
    service_.id = kService;
    requirements_.service = &service_;
    requirements_.allows_version = [](const VersionId&) { return true; };
    requirements_.tried = &tried_;
    for (std::size_t i = 0; i < kEntries; ++i) {
      pools_.emplace_back(HostId("h" + std::to_string(i)), AvailabilityZoneId(), 1.5, 5);
      for (std::size_t e = 0; e < kEndpoints; ++e) {
        EndpointRecord record;
        record.id = Id(e);
        record.service = kService;
        record.slots = Concurrency(64);
        pools_.back().Upsert(record, {}, At(0));
      }
    }
  }

  /// Share of the heavy prompts whose answer begins late.
  double ShareLate(double requests_per_ms) {
    for (std::int64_t now = 0; now < 40000; ++now) {
      for (; !open_.empty() && open_.top().at <= now; open_.pop()) Apply(open_.top());
      if (now % 250 == 0) Exchange(now);
      if (random_.Uniform() < requests_per_ms) Send(now);
    }
    return late_ / heavy_;
  }

 private:
  void Apply(const Open& event) {
    EndpointPool& pool = pools_[event.entry];
    if (event.is_end) {
      --running_[event.host];
      AttemptReport report;
      report.endpoint = Id(event.host);
      report.head_latency = std::chrono::milliseconds(1);
      report.prompt_tokens = event.work;
      pool.OnReport(report, {}, true, At(event.at));
      return;
    }
    HeadReport head;
    head.endpoint = Id(event.host);
    head.work = event.work;
    head.load = ReportedLoad{Concurrency(running_[event.host]), Concurrency(0), Concurrency(64)};
    if (rule_ == Rule::kByTime) head.load->slowdown = Slowdown(SlowdownAt(event.host, event.at));
    pool.OnHead(head, At(event.at));
  }

  void Exchange(std::int64_t now) {
    for (EndpointPool& pool : pools_) {
      const IncarnationId entry(std::to_string(&pool - pools_.data()));
      const auto slowdowns = pool.TakeSlowdowns(12, At(now));
      for (EndpointPool& other : pools_) {
        if (&other == &pool) continue;
        other.UpdatePending(entry, pool.LargestPending(24), At(now));
        other.MergeSlowdowns(slowdowns, At(now));
      }
    }
  }

  PooledEndpoint& Choose(EndpointPool& pool, std::int64_t now) {
    if (rule_ == Rule::kByTime || rule_ == Rule::kWithoutPace) {
      return *pool.Choose(requirements_, random_, At(now));
    }
    const auto load = [&](const PooledEndpoint* endpoint) {
      return endpoint->in_flight + endpoint->in_flight_elsewhere;
    };
    const PooledEndpoint* best = pool.Find(Id(random_.Below(kEndpoints)));
    const std::size_t others = rule_ == Rule::kTwoChoices ? 1 : 8 * kEndpoints;
    for (std::size_t i = 0; i < others; ++i) {
      const PooledEndpoint* other = pool.Find(Id(random_.Below(kEndpoints)));
      if (load(other) < load(best)) best = other;
    }
    return const_cast<PooledEndpoint&>(*best);
  }

  void Send(std::int64_t now) {
    const std::size_t entry = random_.Below(kEntries);
    const bool is_heavy = random_.Uniform() < 0.3;
    const Tokens work = is_heavy ? kHeavyWork : kShortWork;
    requirements_.work = requirements_.memory = work;
    PooledEndpoint& endpoint = Choose(pools_[entry], now);
    pools_[entry].OnSend(endpoint, work, work, At(now));
    const std::size_t host = std::stoul(endpoint.record.id.value().substr(1));
    ++running_[host];
    const auto begin = static_cast<double>(now);
    free_at_[host] = std::max(free_at_[host], begin) +
                     static_cast<double>(work.value()) / kTokensPerMs * SlowdownAt(host, now);
    const auto head_at = static_cast<std::int64_t>(free_at_[host]);
    open_.push({head_at, false, host, entry, work});
    open_.push({head_at + kDecodeMs, true, host, entry, work});
    if (!is_heavy || now < kLearningMs) return;
    heavy_ += 1;
    if (free_at_[host] - begin > kObjectiveMs) late_ += 1;
  }

  Rule rule_;
  Random random_{7};
  RoutedService service_;
  std::vector<EndpointId> tried_;
  EndpointRequirements requirements_;
  std::vector<EndpointPool> pools_;
  std::array<double, kEndpoints> free_at_{};
  std::array<std::uint32_t, kEndpoints> running_{};
  std::priority_queue<Open> open_;
  double heavy_ = 0;
  double late_ = 0;
};

}  // namespace

class PlacementReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementReplayTest);
  CPPUNIT_TEST(HeavyPromptsBeginInTimeOnUnevenHosts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against heavy prompts on slow hosts, where their answers begin late.
  void HeavyPromptsBeginInTimeOnUnevenHosts() {
    for (const double rate : {0.03, 0.045, 0.06}) {
      const double late = Replay(Rule::kByTime).ShareLate(rate);
      for (const Rule other : {Rule::kWithoutPace, Rule::kLeastLoad, Rule::kTwoChoices}) {
        CPPUNIT_ASSERT(late < 0.6 * Replay(other).ShareLate(rate));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementReplayTest);

}  // namespace bamboodock
