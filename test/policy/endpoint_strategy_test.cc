#include "bamboodock/policy/endpoint_strategy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace bamboodock {

class EndpointChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointChooserTest);
  CPPUNIT_TEST(NoStrategyExceedsLimit);
  CPPUNIT_TEST(ReturningZoneGetsItsShare);
  CPPUNIT_TEST(ZoneShareDoesNotRefuseWhenNoOtherEndpointIsLeft);
  CPPUNIT_TEST(AffinityKeepsPrefixAtOneEndpointBelowLoadBound);
  CPPUNIT_TEST(RemovedEndpointMovesOnlyItsKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (int i = 0; i < 6; ++i) {
      EndpointView view;
      view.id = EndpointId("e" + std::to_string(i));
      view.availability_zone = AvailabilityZoneId("z" + std::to_string(i % 3));
      view.limit = Concurrency(4);
      views_.push_back(view);
    }
  }

  // Guards against an attempt at an endpoint that is at its limit, and against an index out of
  // range.
  void NoStrategyExceedsLimit() {
    for (const EndpointStrategy strategy : kEndpointStrategies) {
      std::vector<EndpointView> views = views_;
      const auto chooser = MakeEndpointChooser(strategy);
      for (int i = 0; i < 24; ++i) {
        const auto chosen = chooser->Choose(views, {7, AvailabilityZoneId("z0")}, random_);
        CPPUNIT_ASSERT(chosen.has_value() && views.at(*chosen).in_flight < Concurrency(4));
        views.at(*chosen).in_flight += Concurrency(1);
      }
      CPPUNIT_ASSERT(!chooser->Choose(views, {}, random_).has_value());
      CPPUNIT_ASSERT(!chooser->Choose({}, {}, random_).has_value());
    }
  }

  // Guards against full traffic to a zone whose endpoints are still cold.
  void ReturningZoneGetsItsShare() {
    for (EndpointView& view : views_) {
      if (view.availability_zone.value() == "z1") view.zone_share = Ratio(0.2);
    }
    for (const EndpointStrategy strategy : kEndpointStrategies) {
      const auto chooser = MakeEndpointChooser(strategy);
      int returning = 0;
      for (int i = 0; i < 3000; ++i) {
        const auto chosen = chooser->Choose(views_, {random_(), {}}, random_);
        if (views_[*chosen].zone_share < Ratio(1.0)) ++returning;
      }
      CPPUNIT_ASSERT(returning > 0 && returning < 600);
    }
  }

  // Guards against refusals while only endpoints of a returning zone are left.
  void ZoneShareDoesNotRefuseWhenNoOtherEndpointIsLeft() {
    for (EndpointView& view : views_) view.zone_share = Ratio(0.0);
    for (const EndpointStrategy strategy : kEndpointStrategies) {
      CPPUNIT_ASSERT(MakeEndpointChooser(strategy)->Choose(views_, {}, random_).has_value());
    }
  }

  // Guards against cache misses from spreading a prefix under light load, and against overload of
  // the endpoint that holds the prefix.
  void AffinityKeepsPrefixAtOneEndpointBelowLoadBound() {
    for (const auto strategy :
         {EndpointStrategy::kRendezvous, EndpointStrategy::kAffinityTwoChoices}) {
      const auto chooser = MakeEndpointChooser(strategy);
      const EndpointQuery query{42, {}};
      const std::size_t preferred = *chooser->Choose(views_, query, random_);
      for (int i = 0; i < 20; ++i) {
        CPPUNIT_ASSERT_EQUAL(preferred, *chooser->Choose(views_, query, random_));
      }
      std::vector<EndpointView> views = views_;
      views[preferred].reported_load = Concurrency(3);
      CPPUNIT_ASSERT(preferred != *chooser->Choose(views, query, random_));
    }
  }

  // Guards against cold prefix caches on all endpoints after one has been removed.
  void RemovedEndpointMovesOnlyItsKeys() {
    const auto chooser = MakeEndpointChooser(EndpointStrategy::kRendezvous);
    const std::span<const EndpointView> fewer = std::span(views_).first(5);
    for (std::uint64_t key = 1; key < 200; ++key) {
      const std::size_t before = *chooser->Choose(views_, {key, {}}, random_);
      if (before == 5) continue;
      CPPUNIT_ASSERT_EQUAL(before, *chooser->Choose(fewer, {key, {}}, random_));
    }
  }

 private:
  std::vector<EndpointView> views_;
  Random random_{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointChooserTest);

}  // namespace bamboodock
