#include "bamboodock/policy/entry_ranking.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace bamboodock {
namespace {

HostId Host(std::size_t number) { return HostId("front-" + std::to_string(number)); }

EntryRanking RankingOf(std::size_t self, std::size_t entries) {
  EntryRanking ranking(Host(self));
  std::vector<HostId> others;
  for (std::size_t i = 0; i < entries; ++i) {
    if (i != self) others.push_back(Host(i));
  }
  ranking.SetPeers(others);
  return ranking;
}

}  // namespace

class EntryRankingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRankingTest);
  CPPUNIT_TEST(EachEntryHasAPlaceOfItsOwn);
  CPPUNIT_TEST(PlacesDifferBetweenEndpoints);
  CPPUNIT_TEST(UnknownUntilTold);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two entries that both take the last share of a cold endpoint.
  void EachEntryHasAPlaceOfItsOwn() {
    std::set<std::uint32_t> places;
    for (std::size_t self = 0; self < 29; ++self) {
      places.insert(RankingOf(self, 29).Rank(EndpointId("e1")));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, places.size());
    CPPUNIT_ASSERT_EQUAL(28U, *places.rbegin());
  }

  // Guards against one entry that may use no cold endpoint at all.
  void PlacesDifferBetweenEndpoints() {
    const EntryRanking ranking = RankingOf(3, 29);
    std::set<std::uint32_t> places;
    for (int i = 0; i < 50; ++i) places.insert(ranking.Rank(EndpointId("e" + std::to_string(i))));
    CPPUNIT_ASSERT(places.size() > 10);
  }

  void UnknownUntilTold() {
    CPPUNIT_ASSERT(!EntryRanking(Host(1)).known());
    CPPUNIT_ASSERT(RankingOf(1, 2).known());
    CPPUNIT_ASSERT_EQUAL(2U, RankingOf(1, 2).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRankingTest);

}  // namespace bamboodock
