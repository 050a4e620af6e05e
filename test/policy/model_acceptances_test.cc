#include "bamboodock/policy/model_acceptances.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "policy/at.h"

namespace bamboodock {
namespace {

const RouteHash kRoute(7);

double Probability(const ModelAcceptances& acceptances, std::int64_t at_ms) {
  return acceptances.Probability(kRoute, 1, 0, At(at_ms)).value();
}

/// Reports that 45 of 50 answers of the middle model sufficed after the smallest one.
std::vector<ModelAcceptance> GoodReport() { return {{45, 50, kRoute, 1, 0}}; }

}  // namespace

class ModelAcceptancesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelAcceptancesTest);
  CPPUNIT_TEST(FirstAnswersOutweighThePriorUntilTheyAreOld);
  CPPUNIT_TEST(RepeatedLateAndLostReportsDoNotAccumulate);
  CPPUNIT_TEST(ImpossibleReportsDoNotSpoilTheEstimate);
  CPPUNIT_TEST(ReportHoldsTheLargestCountsOfThisEntryOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a model that is asked in vain for long, and against an estimate that does not
  // follow requests that become easier.
  void FirstAnswersOutweighThePriorUntilTheyAreOld() {
    ModelAcceptances acceptances;
    CPPUNIT_ASSERT(Probability(acceptances, 0) > 0.5);
    for (int i = 0; i < 2; ++i) acceptances.Add(kRoute, 1, 0, false, At(i));
    CPPUNIT_ASSERT(Probability(acceptances, 2) < 0.35);
    CPPUNIT_ASSERT(acceptances.Probability(kRoute, 1, std::nullopt, At(2)).value() > 0.5);
    for (int i = 0; i < 20; ++i) acceptances.Add(kRoute, 1, 0, false, At(3));
    CPPUNIT_ASSERT(Probability(acceptances, 1000) < 0.1);
    CPPUNIT_ASSERT(Probability(acceptances, 300000) > 0.5);
  }

  // Guards against counts that grow with each copy of a report, and that stay when its sender ends.
  void RepeatedLateAndLostReportsDoNotAccumulate() {
    ModelAcceptances acceptances;
    for (int i = 0; i < 50; ++i) acceptances.Add(kRoute, 1, 0, false, At(0));
    for (int i = 0; i < 100; ++i) acceptances.Merge(HostId("h2"), GoodReport(), At(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, Probability(acceptances, 0), 0.01);
    acceptances.Merge(HostId("h2"), {{1, 2, kRoute, 1, 0}}, At(10));
    CPPUNIT_ASSERT(Probability(acceptances, 10) < 0.05);
    acceptances.Merge(HostId("h2"), GoodReport(), At(20));
    acceptances.Forget(HostId("h2"), At(30000));
    CPPUNIT_ASSERT(Probability(acceptances, 30000) < 0.05);
    acceptances.Forget(HostId("h2"), At(30000));
  }

  // Guards against an estimate that one faulty entry decides for all others.
  void ImpossibleReportsDoNotSpoilTheEstimate() {
    ModelAcceptances acceptances;
    for (int host = 0; host < 10; ++host) {
      acceptances.Merge(HostId("h" + std::to_string(host)), {{10, 200, kRoute, 1, 0}}, At(0));
    }
    const double before = Probability(acceptances, 0);
    for (const ModelAcceptance& entry :
         std::vector<ModelAcceptance>{{3, 2, kRoute, 1, 0},
                                      {std::nan(""), 2, kRoute, 1, 0},
                                      {1, std::nan(""), kRoute, 1, 0},
                                      {-1, 2, kRoute, 1, 0},
                                      {INFINITY, INFINITY, kRoute, 1, 0},
                                      {5, 5, kRoute, 1, 1},
                                      {5, 5, kRoute, 4000000000, 0}}) {
      acceptances.Merge(HostId("faulty"), {entry}, At(0));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(before, Probability(acceptances, 0), 1e-9);
    }
    acceptances.Merge(HostId("faulty"), {{1e9, 1e9, kRoute, 1, 0}}, At(0));
    CPPUNIT_ASSERT(Probability(acceptances, 0) < 0.2);
    for (std::uint32_t i = 0; i < 20000; ++i) {
      acceptances.Merge(HostId("h" + std::to_string(i)), {{1, 2, RouteHash(i), 1, 0}}, At(0));
    }
    acceptances.Add(RouteHash(4000000), 0, std::nullopt, false, At(0));
    CPPUNIT_ASSERT(acceptances.Probability(RouteHash(4000000), 0, std::nullopt, At(0)).value() <
                   0.5);
  }

  // Guards against counts of others that are sent on, and so counted twice, and against a report
  // that does not fit into a datagram.
  void ReportHoldsTheLargestCountsOfThisEntryOnly() {
    ModelAcceptances acceptances;
    acceptances.Merge(HostId("h2"), {{45, 50, RouteHash(99), 1, 0}}, At(0));
    for (std::uint32_t route = 0; route < 20; ++route) {
      for (std::uint32_t i = 0; i <= route; ++i) {
        acceptances.Add(RouteHash(route), 0, std::nullopt, i % 2 == 0, At(0));
      }
    }
    const auto report = acceptances.Report(At(30000));
    CPPUNIT_ASSERT_EQUAL(ModelAcceptances::kMaxReported, report.size());
    CPPUNIT_ASSERT(report.front().route == RouteHash(19) && !report.front().previous);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, report.front().judged, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5, report.front().accepted, 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelAcceptancesTest);

}  // namespace bamboodock
