#include "bamboodock/policy/witness_rule.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/publication_rule.h"

namespace bamboodock {

namespace {

const std::vector<HostId> kWitnesses = {HostId("w1"), HostId("w2"), HostId("w3")};
const PublicationId kNext("p5");

WitnessRule Started(const char* self) { return WitnessRule(HostId(self), kWitnesses, 2); }

WitnessRule Recovered(const char* self) {
  WitnessRule rule = Started(self);
  for (const HostId& other : kWitnesses) rule.LearnFromWitness(other, true, Epoch(4), {});
  return rule;
}

void Recover(WitnessRule& rule, const char* source, const WitnessRule& from) {
  rule.LearnFromWitness(HostId(source), from.complete(), from.epoch(), from.pending());
}

// Publishes with w1 and w2. w1 restarts after its first acknowledgement and recovers from w2 and w3
// before w2 has acknowledged. Returns whether the publisher would commit.
bool CommitsAcrossRestart(const IncarnationId& after_restart, bool& old_epoch_attested) {
  WitnessRule w1 = Recovered("w1");
  WitnessRule w2 = Recovered("w2");
  WitnessRule w3 = Recovered("w3");
  PublicationRule publisher(kNext, kWitnesses);
  publisher.OnPublication(std::nullopt);
  publisher.OnHead({PublicationId("p4"), Epoch(4)}, std::nullopt);
  publisher.OnObjectPut();
  publisher.OnPrepareAnswer(HostId("w1"), IncarnationId("w1/1"),
                            w1.Acknowledge(kNext, publisher.next()));
  w1 = Started("w1");
  Recover(w1, "w2", w2);
  Recover(w1, "w3", w3);
  old_epoch_attested = w1.Attestation(false) == Epoch(4) && w3.Attestation(false) == Epoch(4);
  publisher.OnPrepareAnswer(HostId("w2"), IncarnationId("w2/1"),
                            w2.Acknowledge(kNext, publisher.next()));
  publisher.OnPrepareEnd();
  // w3 does not answer, so w1 and w2 must form the majority.
  publisher.OnPrepareAnswer(HostId("w2"), IncarnationId("w2/1"), true);
  publisher.OnPrepareAnswer(HostId("w1"), after_restart, true);
  return publisher.step() == PublicationStep::kCommit;
}

}  // namespace

class WitnessRuleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WitnessRuleTest);
  CPPUNIT_TEST(OldEpochIsNotAttestedAfterPrepare);
  CPPUNIT_TEST(RestartedWitnessDoesNotAttest);
  CPPUNIT_TEST(SingleStoreReadIsNotSufficient);
  CPPUNIT_TEST(RecoveryKeepsPendingPrepares);
  CPPUNIT_TEST(RestartBetweenRoundsStopsPublisher);
  CPPUNIT_TEST(WithoutIncarnationOldEpochIsAttested);
  CPPUNIT_TEST(FullWitnessRefusesPrepare);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a majority that attests N after N+1 was accepted.
  void OldEpochIsNotAttestedAfterPrepare() {
    WitnessRule rule = Recovered("w1");
    CPPUNIT_ASSERT(rule.Attestation(false) == Epoch(4));
    CPPUNIT_ASSERT(!rule.Attestation(true).has_value());
    CPPUNIT_ASSERT(rule.Acknowledge(kNext, Epoch(5)));
    CPPUNIT_ASSERT(rule.Acknowledge(kNext, Epoch(5)));
    CPPUNIT_ASSERT(!rule.Attestation(false).has_value());
    CPPUNIT_ASSERT(rule.AttestationWithPending(false) == Epoch(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rule.pending().size());
    rule.Learn(Epoch(5), kNext);
    CPPUNIT_ASSERT(rule.Attestation(false) == Epoch(5));
    CPPUNIT_ASSERT(!rule.Acknowledge(PublicationId("q5"), Epoch(5)));
  }

  // Guards against an attestation by a process that lost its acknowledgements in a restart.
  void RestartedWitnessDoesNotAttest() {
    WitnessRule rule = Started("w1");
    rule.Learn(Epoch(4), PublicationId("p4"));
    CPPUNIT_ASSERT(!rule.AttestationWithPending(false).has_value());
    rule.LearnFromWitness(HostId("w2"), true, Epoch(4), {});
    rule.LearnFromWitness(HostId("w2"), true, Epoch(4), {});
    rule.LearnFromWitness(HostId("w3"), false, Epoch(4), {});
    rule.LearnFromWitness(HostId("w1"), true, Epoch(4), {});
    CPPUNIT_ASSERT(!rule.AttestationWithPending(false).has_value());
    rule.LearnFromWitness(HostId("w3"), true, Epoch(4), {});
    CPPUNIT_ASSERT(rule.Attestation(false) == Epoch(4));
  }

  // Guards against an attestation after a read of a head that a prepared commit is about to
  // replace.
  void SingleStoreReadIsNotSufficient() {
    WitnessRule rule = Started("w1");
    rule.LearnFromStore(Epoch(4), PublicationId("p4"));
    CPPUNIT_ASSERT(!rule.AttestationWithPending(false).has_value());
    rule.LearnFromStore(Epoch(5), kNext);
    CPPUNIT_ASSERT(rule.Attestation(false) == Epoch(5));
  }

  // Guards against losing a pending prepare when a witness recovers after a restart.
  void RecoveryKeepsPendingPrepares() {
    WitnessRule w2 = Recovered("w2");
    w2.Acknowledge(kNext, Epoch(5));
    WitnessRule w1 = Started("w1");
    Recover(w1, "w2", w2);
    Recover(w1, "w3", Recovered("w3"));
    CPPUNIT_ASSERT(w1.complete());
    CPPUNIT_ASSERT(!w1.Attestation(false).has_value());
    CPPUNIT_ASSERT(w1.pending() == w2.pending());
  }

  // Guards against counting an acknowledgement that the witness has lost in a restart.
  void RestartBetweenRoundsStopsPublisher() {
    bool old_epoch_attested = false;
    CPPUNIT_ASSERT(!CommitsAcrossRestart(IncarnationId("w1/2"), old_epoch_attested));
    CPPUNIT_ASSERT(old_epoch_attested);
  }

  // Shows that RestartBetweenRoundsStopsPublisher does not hold when incarnations are not compared.
  void WithoutIncarnationOldEpochIsAttested() {
    bool old_epoch_attested = false;
    CPPUNIT_ASSERT(CommitsAcrossRestart(IncarnationId("w1/1"), old_epoch_attested));
    CPPUNIT_ASSERT(old_epoch_attested);
  }

  // Guards against acknowledging a prepare that exceeds the capacity and is therefore not recorded.
  void FullWitnessRefusesPrepare() {
    WitnessRule rule = Recovered("w1");
    CPPUNIT_ASSERT(rule.Acknowledge(PublicationId("a"), Epoch(5)));
    CPPUNIT_ASSERT(rule.Acknowledge(PublicationId("b"), Epoch(5)));
    CPPUNIT_ASSERT(!rule.Acknowledge(PublicationId("c"), Epoch(5)));
    WitnessRule restarted = Started("w2");
    Recover(restarted, "w1", rule);
    restarted.LearnFromWitness(HostId("w3"), true, Epoch(4), {{PublicationId("d"), Epoch(5)}});
    CPPUNIT_ASSERT(!restarted.complete());
    restarted.Learn(Epoch(5), PublicationId("d"));
    CPPUNIT_ASSERT(restarted.complete());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WitnessRuleTest);

}  // namespace bamboodock
