#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

#include "bamboodock/command/router/endpoint_pool.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEndpoints = 60;
constexpr std::size_t kZones = 5;
constexpr std::uint32_t kSlots = 64;
/// Requests per second over all entries, and their mean duration: 15 open requests an endpoint.
constexpr double kRate = 225;
constexpr double kMeanSeconds = 4;
constexpr milliseconds kStep{5};
constexpr milliseconds kReportInterval{250};
constexpr int kWarmUpSteps = 2000;
constexpr int kSteps = 5000;

/// How an entry of the replay chooses endpoints.
enum class Placement { kPool, kPoolWithoutReports, kRandom, kLeastOfAll };

/// Entries that send a steady load of long streams to the same endpoints and report the loads that
/// endpoints state to them.
class PlacementReplay {
 public:
  PlacementReplay(std::size_t entries, Placement placement)
      : placement_(placement), random_(11), open_(kEndpoints, 0) {
    service_.id = ServiceId("s1");
    for (std::size_t i = 0; i < entries; ++i) {
      pools_.emplace_back(HostId("h" + std::to_string(i)), Zone(i % kZones), 1.5, 5);
    }
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      EndpointRecord record;
      record.id = EndpointId("e" + std::to_string(100 + i));
      record.service = service_.id;
      record.version = VersionId("v1");
      record.availability_zone = Zone(i % kZones);
      record.slots = Concurrency(kSlots);
      for (EndpointPool& pool : pools_) pool.Upsert(record, {}, MonotonicTime());
      indexes_[record.id] = i;
    }
  }

  /// Lets the first endpoints lose a share of their answers from now on.
  void LoseAnswers(std::size_t endpoints, double share) {
    losing_endpoints_ = endpoints;
    lost_share_ = share;
  }

  /// Answers lost in the steps after the warm-up.
  int lost() const { return lost_; }

  /// Mean over time of the largest number of open requests at one endpoint, as a multiple of the
  /// mean over all endpoints.
  double PeakToMean() {
    double sum = 0;
    int samples = 0;
    for (int step = 0; step < kSteps; ++step) {
      const MonotonicTime now = MonotonicTime(std::chrono::seconds(100)) + step * kStep;
      EndRequests(now);
      const double expected = kRate * std::chrono::duration<double>(kStep).count();
      for (int n = Count(expected); n > 0; --n) SendRequest(now);
      if (step % (kReportInterval / kStep) == 0) ExchangeReports(now);
      counting_ = step >= kWarmUpSteps;
      if (!counting_) continue;
      double total = 0;
      for (const std::uint32_t open : open_) total += open;
      sum += *std::max_element(open_.begin(), open_.end()) / (total / kEndpoints);
      ++samples;
    }
    return sum / samples;
  }

 private:
  struct OpenRequest {
    MonotonicTime end;
    std::size_t entry;
    std::size_t endpoint;
    bool operator>(const OpenRequest& other) const { return end > other.end; }
  };

  static AvailabilityZoneId Zone(std::size_t index) {
    return AvailabilityZoneId("z" + std::to_string(index));
  }
  int Count(double expected) { return static_cast<int>(expected + random_.Uniform()); }

  void SendRequest(MonotonicTime now) {
    const std::size_t entry = random_.Below(pools_.size());
    EndpointPool& pool = pools_[entry];
    const EndpointId id = Choose(pool, now);
    const std::size_t endpoint = indexes_.at(id);
    const double seconds = -kMeanSeconds * std::log(1 - random_.Uniform());
    const auto duration =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (endpoint < losing_endpoints_ && random_.Uniform() < lost_share_) {
      if (counting_) ++lost_;
      AttemptReport report;
      report.endpoint = id;
      report.service = service_.id;
      report.outcome = AttemptOutcome::kBroken;
      pool.OnReport(report, {}, true, now);
      return;
    }
    ++open_[endpoint];
    requests_.push({now + duration, entry, endpoint});
    HeadReport head;
    head.endpoint = id;
    head.load = ReportedLoad{Concurrency(open_[endpoint]), Concurrency(0), Concurrency(kSlots)};
    pool.OnHead(head, now);
    stated_[endpoint] = open_[endpoint];
  }

  EndpointId Choose(EndpointPool& pool, MonotonicTime now) {
    if (placement_ == Placement::kRandom) return IdAt(random_.Below(kEndpoints));
    if (placement_ == Placement::kLeastOfAll) {
      const auto least = std::min_element(known_.begin(), known_.end());
      return IdAt(static_cast<std::size_t>(least - known_.begin()));
    }
    const std::vector<EndpointId> tried;
    EndpointRequirements requirements;
    requirements.service = &service_;
    requirements.allows_version = [](const VersionId&) { return true; };
    requirements.tried = &tried;
    PooledEndpoint* chosen = pool.Choose(requirements, random_, now);
    CPPUNIT_ASSERT(chosen != nullptr);
    pool.OnSend(*chosen, Tokens(0), now);
    return chosen->record.id;
  }

  EndpointId IdAt(std::size_t index) const { return EndpointId("e" + std::to_string(100 + index)); }

  void EndRequests(MonotonicTime now) {
    while (!requests_.empty() && requests_.top().end <= now) {
      const OpenRequest& request = requests_.top();
      --open_[request.endpoint];
      AttemptReport report;
      report.endpoint = IdAt(request.endpoint);
      report.service = service_.id;
      pools_[request.entry].OnReport(report, {}, true, now);
      requests_.pop();
    }
  }

  /// Each entry gets the report of every second other entry.
  void ExchangeReports(MonotonicTime now) {
    known_ = stated_;
    if (placement_ != Placement::kPool) return;
    std::vector<std::vector<EndpointObservation>> reports;
    for (EndpointPool& pool : pools_) {
      reports.push_back(pool.RecentObservations(20, now));
      pool.BeginReportInterval();
    }
    ++round_;
    for (std::size_t to = 0; to < pools_.size(); ++to) {
      for (std::size_t from = 0; from < pools_.size(); ++from) {
        if (from != to && (from + to + round_) % 2 == 0) pools_[to].Apply(reports[from], now);
      }
    }
  }

  Placement placement_;
  Random random_;
  RoutedService service_;
  std::vector<EndpointPool> pools_;
  std::map<EndpointId, std::size_t> indexes_;
  std::vector<std::uint32_t> open_;
  std::vector<std::uint32_t> stated_ = std::vector<std::uint32_t>(kEndpoints, 0);
  /// Loads that all entries know, as of the last exchange of reports.
  std::vector<std::uint32_t> known_ = std::vector<std::uint32_t>(kEndpoints, 0);
  std::size_t round_ = 0;
  std::size_t losing_endpoints_ = 0;
  double lost_share_ = 0;
  bool counting_ = false;
  int lost_ = 0;
  std::priority_queue<OpenRequest, std::vector<OpenRequest>, std::greater<>> requests_;
};

}  // namespace

class EndpointPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointPlacementTest);
  CPPUNIT_TEST(ReportedLoadsSpreadRequests);
  CPPUNIT_TEST(EntriesDoNotHerd);
  CPPUNIT_TEST(LosingEndpointsGetLess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against engines that get half as many requests again as others, because each of many
  // entries knows only its own requests.
  void ReportedLoadsSpreadRequests() {
    const double with_reports = PlacementReplay(33, Placement::kPool).PeakToMean();
    const double without = PlacementReplay(33, Placement::kPoolWithoutReports).PeakToMean();
    const double random = PlacementReplay(33, Placement::kRandom).PeakToMean();
    const std::string values =
        std::to_string(with_reports) + " " + std::to_string(without) + " " + std::to_string(random);
    CPPUNIT_ASSERT_MESSAGE(values, with_reports - 1 < 0.7 * (without - 1));
    CPPUNIT_ASSERT_MESSAGE(values, with_reports - 1 < 0.7 * (random - 1));
  }

  // Guards against entries that all send to the endpoint with the least load in old reports.
  void EntriesDoNotHerd() {
    for (const std::size_t entries : {std::size_t{4}, std::size_t{33}, std::size_t{300}}) {
      const double pool = PlacementReplay(entries, Placement::kPool).PeakToMean();
      const double random = PlacementReplay(entries, Placement::kRandom).PeakToMean();
      const double least = PlacementReplay(entries, Placement::kLeastOfAll).PeakToMean();
      const std::string values = std::to_string(entries) + ": " + std::to_string(pool) + " " +
                                 std::to_string(random) + " " + std::to_string(least);
      CPPUNIT_ASSERT_MESSAGE(values, pool < random && pool < least);
    }
  }

  // Guards against requests that are sent again and again to endpoints that lose a part of their
  // answers, while each entry has seen too few answers to know.
  void LosingEndpointsGetLess() {
    const int with_reports = Lost(Placement::kPool);
    const int without = Lost(Placement::kPoolWithoutReports);
    const std::string values = std::to_string(with_reports) + " " + std::to_string(without);
    CPPUNIT_ASSERT_MESSAGE(values, with_reports < 0.7 * without);
  }

 private:
  static int Lost(Placement placement) {
    PlacementReplay replay(33, placement);
    replay.LoseAnswers(30, 0.4);
    replay.PeakToMean();
    return replay.lost();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointPlacementTest);

}  // namespace bamboodock
