#include "bamboodock/policy/publication_rule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

namespace {

const std::vector<HostId> kWitnesses = {HostId("w1"), HostId("w2"), HostId("w3")};
const AcceptedPublication kHead{PublicationId("p4"), Epoch(4)};
const PublicationId kOwn("p5");

PublicationRule Prepared() {
  PublicationRule rule(kOwn, kWitnesses);
  rule.OnPublication(std::nullopt);
  rule.OnHead(kHead, Epoch(4));
  rule.OnObjectPut();
  for (const HostId& witness : kWitnesses) {
    rule.OnPrepareAnswer(witness, IncarnationId(witness.value()), true);
  }
  rule.OnPrepareEnd();
  return rule;
}

PublicationRule AtCommit() {
  PublicationRule rule = Prepared();
  for (const HostId& witness : kWitnesses) {
    rule.OnPrepareAnswer(witness, IncarnationId(witness.value()), true);
  }
  return rule;
}

}  // namespace

class PublicationRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublicationRuleTest);
  CPPUNIT_TEST(NeedsMajorityBeforeCommit);
  CPPUNIT_TEST(RejectedPrepareDoesNotCount);
  CPPUNIT_TEST(LostAnswerIsResolvedByRow);
  CPPUNIT_TEST(ConflictMayBeOwnCommit);
  CPPUNIT_TEST(ConflictNamesCommittedPublication);
  CPPUNIT_TEST(RepeatOfAcceptedIdIsAccepted);
  CPPUNIT_TEST(UnknownOutcomeIsNotReportedAsFailed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a commit while a majority of witnesses can still attest the old epoch.
  void NeedsMajorityBeforeCommit() {
    PublicationRule rule = Prepared();
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kConfirmPrepare);
    rule.OnPrepareAnswer(HostId("w1"), IncarnationId("w1"), true);
    rule.OnPrepareAnswer(HostId("w1"), IncarnationId("w1"), true);
    rule.OnPrepareAnswer(HostId("w9"), IncarnationId("w9"), true);
    rule.OnPrepareEnd();
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kFailed);
    CPPUNIT_ASSERT(rule.failure() == ResultCode::kWitnessesUnreachable);
    CPPUNIT_ASSERT(AtCommit().step() == PublicationStep::kCommit);
  }

  // Guards against counting the answer of a witness that knows a newer epoch.
  void RejectedPrepareDoesNotCount() {
    PublicationRule rule(kOwn, kWitnesses);
    rule.OnPublication(std::nullopt);
    rule.OnHead(kHead, std::nullopt);
    rule.OnObjectPut();
    rule.OnPrepareAnswer(HostId("w1"), IncarnationId("w1"), true);
    rule.OnPrepareAnswer(HostId("w2"), IncarnationId("w2"), false);
    rule.OnPrepareEnd();
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kFailed);
  }

  // Guards against reporting a commit that took effect as failed.
  void LostAnswerIsResolvedByRow() {
    PublicationRule rule = AtCommit();
    rule.OnCommit(CommitOutcome::kAnswerLost);
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kReadBack);
    rule.OnReadBack(AcceptedPublication{kOwn, Epoch(5)}, {kOwn, Epoch(5)});
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kAccepted);
    CPPUNIT_ASSERT_EQUAL(Epoch(5), rule.accepted());
  }

  // Guards against a conflict report for a publication that an earlier run of the id committed.
  void ConflictMayBeOwnCommit() {
    PublicationRule rule = AtCommit();
    rule.OnCommit(CommitOutcome::kConflict);
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kReadBack);
    rule.OnReadBack(AcceptedPublication{kOwn, Epoch(5)}, {PublicationId("p6"), Epoch(6)});
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kAccepted);
  }

  // Guards against two accepted publications for one epoch.
  void ConflictNamesCommittedPublication() {
    PublicationRule rule = AtCommit();
    rule.OnCommit(CommitOutcome::kConflict);
    rule.OnReadBack(std::nullopt, {PublicationId("q5"), Epoch(5)});
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kConflict);
    CPPUNIT_ASSERT_EQUAL(PublicationId("q5"), rule.winner());
    PublicationRule late(PublicationId("r5"), kWitnesses);
    late.OnPublication(std::nullopt);
    late.OnHead({PublicationId("q5"), Epoch(5)}, Epoch(4));
    CPPUNIT_ASSERT(late.step() == PublicationStep::kConflict);
  }

  // Guards against a second epoch for a publication that an operator submits twice.
  void RepeatOfAcceptedIdIsAccepted() {
    PublicationRule rule(kOwn, kWitnesses);
    rule.OnPublication(AcceptedPublication{kOwn, Epoch(5)});
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kAccepted);
    CPPUNIT_ASSERT_EQUAL(Epoch(5), rule.accepted());
  }

  // Guards against reporting a failure while a commit may still take effect.
  void UnknownOutcomeIsNotReportedAsFailed() {
    PublicationRule rule = AtCommit();
    rule.OnCommit(CommitOutcome::kAnswerLost);
    rule.OnReadBack(std::nullopt, kHead);
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kCommit);
    rule.OnCommit(CommitOutcome::kNotSent);
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kReadBack);
    rule.OnStoreUnavailable();
    CPPUNIT_ASSERT(rule.step() == PublicationStep::kUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublicationRuleTest);

}  // namespace bamboodock
