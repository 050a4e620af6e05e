#include "bamboodock/policy/entry_ranking.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace bamboodock {
namespace {

HostId Host(std::size_t number) { return HostId("front-" + std::to_string(number)); }

EntryRanking RankingOf(std::size_t self, std::size_t entries) {
  EntryRanking ranking(Host(self));
  std::vector<HostId> peers;
  for (std::size_t i = 0; i < entries; ++i) {
    if (i != self) peers.push_back(Host(i));
  }
  ranking.SetPeers(peers);
  return ranking;
}

}  // namespace

class EntryRankingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRankingTest);
  CPPUNIT_TEST(EachEntryHasADistinctRank);
  CPPUNIT_TEST(RanksDifferBetweenEndpoints);
  CPPUNIT_TEST(UnknownUntilPeersAreSet);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two entries that both use the last share of a cold endpoint.
  void EachEntryHasADistinctRank() {
    std::set<std::uint32_t> ranks;
    for (std::size_t self = 0; self < 29; ++self) {
      ranks.insert(RankingOf(self, 29).Rank("e1"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{29}, ranks.size());
    CPPUNIT_ASSERT_EQUAL(28U, *ranks.rbegin());
  }

  // Guards against an entry that is never allowed to use a cold endpoint.
  void RanksDifferBetweenEndpoints() {
    const EntryRanking ranking = RankingOf(3, 29);
    std::set<std::uint32_t> ranks;
    for (int i = 0; i < 50; ++i) ranks.insert(ranking.Rank("e" + std::to_string(i)));
    CPPUNIT_ASSERT(ranks.size() > 10);
  }

  // Guards against taking an entry whose peers are not known yet for the only entry.
  void UnknownUntilPeersAreSet() {
    CPPUNIT_ASSERT(!EntryRanking(Host(1)).known());
    CPPUNIT_ASSERT(RankingOf(1, 2).known());
    CPPUNIT_ASSERT_EQUAL(2U, RankingOf(1, 2).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRankingTest);

}  // namespace bamboodock
