#include "bamboodock/objects/object_set_diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/objects/object_set_checker.h"
#include "bamboodock/objects/version_withdrawal.h"
#include "fakes/sample_object_set.h"

namespace bamboodock {

class ObjectSetDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectSetDiffTest);
  CPPUNIT_TEST(EqualSetsDoNotDiffer);
  CPPUNIT_TEST(ListsAddedRemovedAndChanged);
  CPPUNIT_TEST(WithdrawalMovesTheShare);
  CPPUNIT_TEST(WithdrawalOfTheOnlyShareStopsNewSessions);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a diff that reports changes of an unchanged set.
  void EqualSetsDoNotDiffer() {
    CPPUNIT_ASSERT(DiffObjectSets(*SampleObjectSet().Build(), *SampleObjectSet().Build()).empty());
  }

  // Guards against a change that an operator does not see before publishing it.
  void ListsAddedRemovedAndChanged() {
    SampleObjectSet sample;
    sample.account.models[0].versions.clear();
    sample.account.burst = Concurrency(99);
    sample.service.id = EndpointId("records-2");
    const auto changes = DiffObjectSets(*SampleObjectSet().Build(), *sample.Build());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
    CPPUNIT_ASSERT(changes[0].change == ChangeKind::kChanged);
    CPPUNIT_ASSERT_EQUAL(std::string("port-office"), changes[0].id);
    CPPUNIT_ASSERT((changes[0].fields == std::vector<std::string_view>{"models", "burst"}));
    CPPUNIT_ASSERT(changes[1].change == ChangeKind::kRemoved);
    CPPUNIT_ASSERT_EQUAL(std::string("records-1"), changes[1].id);
    CPPUNIT_ASSERT(changes[2].change == ChangeKind::kAdded);
    CPPUNIT_ASSERT_EQUAL(std::string("records-2"), changes[2].id);
  }

  // Guards against a withdrawal that the checker rejects because shares no longer sum to 1.
  void WithdrawalMovesTheShare() {
    const auto set = WithVersionStage(*SampleObjectSet().Build(), ModelId("summary"),
                                      VersionId("summary-1"), VersionStage::kWithdrawn);
    CPPUNIT_ASSERT(CheckObjectSet(*set).empty());
    const Model& model = *set->Find(ModelId("summary"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.shares.size());
    CPPUNIT_ASSERT_EQUAL(1.0, model.shares[0].share.value());
    const auto* version = set->Find(ModelId("summary"), VersionId("summary-1"));
    CPPUNIT_ASSERT(version->stage == VersionStage::kWithdrawn);
  }

  // Guards against traffic on a version that operators gave no share.
  void WithdrawalOfTheOnlyShareStopsNewSessions() {
    SampleObjectSet sample;
    sample.model.shares = {{VersionId("summary-1"), Ratio(1.0)},
                           {VersionId("summary-2"), Ratio(0.0)}};
    const auto set = WithVersionStage(*sample.Build(), ModelId("summary"), VersionId("summary-1"),
                                      VersionStage::kNoNewSessions);
    CPPUNIT_ASSERT(CheckObjectSet(*set).empty());
    CPPUNIT_ASSERT(set->Find(ModelId("summary"))->shares.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectSetDiffTest);

}  // namespace bamboodock
