#include "bamboodock/codec/peer_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

#include "bamboodock/policy/endpoint_rate_limits.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

namespace {

const MonotonicTime kNow(std::chrono::seconds(5000));

}  // namespace

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(RoundTripKeepsEveryField);
  CPPUNIT_TEST(SlowdownsAndAcceptanceAreKept);
  CPPUNIT_TEST(ImpossibleAcceptanceIsDropped);
  CPPUNIT_TEST(PromptEvidenceKeepsItsAge);
  CPPUNIT_TEST(RateLimitsKeepTheirTimes);
  CPPUNIT_TEST(InvalidRateLimitsAreRejected);
  CPPUNIT_TEST(RandomDatagramsDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against evidence that is lost on the way to the other entries.
  void RoundTripKeepsEveryField() {
    PeerReport report{HostId("h1"), IncarnationId("i1"), {}, {}, {}};
    report.orders = {18446744073709551615U, std::chrono::milliseconds(123456)};
    report.pending.push_back({EndpointId("e1"), Tokens(12000)});
    RolloutEvidence evidence{
        ServiceId("s1"), {StoreEra(2), 41}, {}, {}, 3, {SessionHash(7), SessionHash(4000000000)}};
    evidence.answers.answers = 12;
    evidence.answers.errors = 2;
    evidence.answers.slow = 1;
    evidence.answers.silent = 1;
    evidence.answers.paced = 9;
    evidence.answers.above_quartile = 4;
    evidence.old_answers.answers = 90;
    report.rollouts.push_back(evidence);
    const auto message = DecodePeerMessage(EncodePeerReport(report), kNow);
    CPPUNIT_ASSERT(message);
    const auto* decoded = &std::get<PeerReport>(message.value());
    CPPUNIT_ASSERT(decoded->host == report.host && decoded->incarnation == report.incarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded->rollouts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded->pending.size());
    CPPUNIT_ASSERT(decoded->pending[0].work == Tokens(12000));
    CPPUNIT_ASSERT(decoded->rollouts[0].service == evidence.service);
    CPPUNIT_ASSERT(decoded->rollouts[0].order_revision == evidence.order_revision);
    CPPUNIT_ASSERT(decoded->rollouts[0].answers == evidence.answers);
    CPPUNIT_ASSERT(decoded->rollouts[0].old_answers == evidence.old_answers);
    CPPUNIT_ASSERT(decoded->rollouts[0].open_at_old == 3);
    CPPUNIT_ASSERT(decoded->rollouts[0].held_back == evidence.held_back);
    CPPUNIT_ASSERT(decoded->orders.digest == report.orders.digest);
    CPPUNIT_ASSERT(decoded->orders.until == report.orders.until);
  }

  // Guards against what entries learn being lost on the way to the others.
  void SlowdownsAndAcceptanceAreKept() {
    PeerReport report{HostId("h1"), IncarnationId("i1"), {}, {}, {}};
    report.slowdowns.push_back({EndpointId("e1"), Slowdown(1.62)});
    report.acceptance.push_back({3.5, 8.25, RouteHash(4000000000), 2, 0});
    report.acceptance.push_back({1, 2, RouteHash(1), 0, std::nullopt});
    const auto message = DecodePeerMessage(EncodePeerReport(report), kNow);
    CPPUNIT_ASSERT(message);
    const auto& decoded = std::get<PeerReport>(*message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.slowdowns.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.62, decoded.slowdowns[0].slowdown.value(), 0.001);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoded.acceptance.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8.25, decoded.acceptance[0].judged, 0.001);
    CPPUNIT_ASSERT(decoded.acceptance[0].route == RouteHash(4000000000));
    CPPUNIT_ASSERT(decoded.acceptance[0].previous == 0U);
    CPPUNIT_ASSERT(!decoded.acceptance[1].previous);
  }

  // Guards against estimates that one faulty datagram spoils.
  void ImpossibleAcceptanceIsDropped() {
    PeerReport report{HostId("h1"), IncarnationId("i1"), {}, {}, {}};
    report.acceptance.push_back({3, 2, RouteHash(1), 0, std::nullopt});
    report.acceptance.push_back({std::nan(""), 2, RouteHash(1), 0, std::nullopt});
    const auto message = DecodePeerMessage(EncodePeerReport(report), kNow);
    CPPUNIT_ASSERT(message);
    CPPUNIT_ASSERT(std::get<PeerReport>(*message).acceptance.empty());
  }

  // Guards against crashes that seem older or newer at another entry, and against a full report
  // that does not fit into a datagram.
  void PromptEvidenceKeepsItsAge() {
    PromptEvidenceReport report{HostId("h1"), {}};
    for (std::uint32_t i = 0; i < 12; ++i) {
      PromptPartEvidence part{PromptPartHash(~std::uint64_t{i}), i, std::nullopt, {}};
      if (i > 0) part.survived_at = kNow - std::chrono::minutes(i);
      for (std::uint32_t j = 0; j < 6; ++j) {
        part.losses.push_back(
            {EndpointLifetimeHash(~i), RequestHash(~j), kNow - std::chrono::milliseconds(100 * j)});
      }
      report.parts.push_back(part);
    }
    const std::string bytes = EncodePromptEvidence(report, kNow);
    CPPUNIT_ASSERT(bytes.size() <= 1400);
    const MonotonicTime later = kNow + std::chrono::seconds(7);
    const auto message = DecodePeerMessage(bytes, later);
    CPPUNIT_ASSERT(message);
    const auto* decoded = &std::get<PromptEvidenceReport>(message.value());
    CPPUNIT_ASSERT(decoded->host == report.host && decoded->parts.size() == 12);
    CPPUNIT_ASSERT(!decoded->parts[0].survived_at);
    CPPUNIT_ASSERT(later - *decoded->parts[3].survived_at == std::chrono::minutes(3));
    const LostAnswer& loss = decoded->parts[3].losses[2];
    CPPUNIT_ASSERT(later - loss.at == std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(loss.endpoint == EndpointLifetimeHash(~3U) && loss.request == RequestHash(~2U));
  }

  // Guards against limits that seem older or newer at another entry, and against a full report that
  // does not fit into a datagram.
  void RateLimitsKeepTheirTimes() {
    RateLimitReport report{HostId("front-valle-aburra-1"), {}};
    for (std::size_t i = 0; i < EndpointRateLimits::kMaxReported; ++i) {
      report.limits.push_back({EndpointId("i-40f425ee5c"), StartTime(1785753368000),
                               RequestRate(2.6), std::chrono::milliseconds(99999999)});
    }
    report.limits.back().limit.reset();
    const std::string bytes = EncodeRateLimits(report);
    CPPUNIT_ASSERT(bytes.size() <= 1400);
    const auto message = DecodePeerMessage(bytes, kNow);
    CPPUNIT_ASSERT(message);
    const auto& decoded = std::get<RateLimitReport>(*message);
    CPPUNIT_ASSERT(decoded.host == report.host && decoded.limits.size() == report.limits.size());
    CPPUNIT_ASSERT(decoded.limits.front().limit == RequestRate(2.6));
    CPPUNIT_ASSERT(decoded.limits.front().started == StartTime(1785753368000));
    CPPUNIT_ASSERT(decoded.limits.front().stated == std::chrono::milliseconds(99999999));
    CPPUNIT_ASSERT(!decoded.limits.back().limit);
  }

  // Guards against an endpoint that is overloaded or left out because of a malformed report.
  void InvalidRateLimitsAreRejected() {
    for (const double rate : {-1.0, std::numeric_limits<double>::infinity(), std::nan("")}) {
      RateLimitReport report{HostId("h1"), {}};
      report.limits.push_back({EndpointId("e1"), StartTime(1), RequestRate(rate), {}});
      CPPUNIT_ASSERT(!DecodePeerMessage(EncodeRateLimits(report), kNow));
    }
  }

  // Guards against a crash of the process by datagrams of other programs.
  void RandomDatagramsDoNotCrash() {
    Random random(7);
    for (int round = 0; round < 2000; ++round) {
      std::string bytes(random.Below(60), '\0');
      for (char& byte : bytes) byte = static_cast<char>(random.Below(256));
      const auto message = DecodePeerMessage(bytes, kNow);
      const auto* decoded = message ? std::get_if<PeerReport>(&*message) : nullptr;
      CPPUNIT_ASSERT(!decoded || !decoded->host.value().empty() || decoded->rollouts.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

}  // namespace bamboodock
