#include "bamboodock/policy/stream_assembler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

namespace {

const AttemptId kAttempt("a");

}  // namespace

class StreamAssemblerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamAssemblerTest);
  CPPUNIT_TEST(RepeatsAndGapsAreNotDelivered);
  CPPUNIT_TEST(CutOffAnswerIsNotComplete);
  CPPUNIT_TEST(OtherAttemptIsIgnored);
  CPPUNIT_TEST(SharedAttemptIdMixesAnswers);
  CPPUNIT_TEST(GivesUpWithoutProgress);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gap or a repeat in the caller's answer after a resume.
  void RepeatsAndGapsAreNotDelivered() {
    StreamAssembler stream(kAttempt, 3);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(0)) == StreamVerdict::kDeliver);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(0)) == StreamVerdict::kIgnore);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(2)) == StreamVerdict::kResume);
    CPPUNIT_ASSERT_EQUAL(SequenceNumber(1), stream.next());
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(1)) == StreamVerdict::kDeliver);
  }

  // Guards against presenting a part of an answer as the whole.
  void CutOffAnswerIsNotComplete() {
    StreamAssembler stream(kAttempt, 3);
    stream.OnChunk(kAttempt, SequenceNumber(0));
    CPPUNIT_ASSERT(stream.OnEnd(kAttempt, SequenceNumber(2)) == StreamVerdict::kResume);
    CPPUNIT_ASSERT(!stream.done());
    stream.OnChunk(kAttempt, SequenceNumber(1));
    CPPUNIT_ASSERT(stream.OnEnd(kAttempt, SequenceNumber(2)) == StreamVerdict::kComplete);
    CPPUNIT_ASSERT(stream.complete());
    CPPUNIT_ASSERT(stream.OnSilence() == StreamVerdict::kIgnore);
    StreamAssembler longer(kAttempt, 3);
    longer.OnChunk(kAttempt, SequenceNumber(0));
    CPPUNIT_ASSERT(longer.OnEnd(kAttempt, SequenceNumber(0)) == StreamVerdict::kIncomplete);
  }

  // Guards against bytes of another request in the caller's answer.
  void OtherAttemptIsIgnored() {
    StreamAssembler stream(kAttempt, 3);
    CPPUNIT_ASSERT(stream.OnChunk(AttemptId("b"), SequenceNumber(0)) == StreamVerdict::kIgnore);
    CPPUNIT_ASSERT(stream.OnEnd(AttemptId("b"), SequenceNumber(0)) == StreamVerdict::kIgnore);
  }

  // Shows the failure of OtherAttemptIsIgnored when retries reuse the attempt id.
  void SharedAttemptIdMixesAnswers() {
    StreamAssembler stream(kAttempt, 3);
    stream.OnChunk(kAttempt, SequenceNumber(0));
    const AttemptId retry = kAttempt;
    CPPUNIT_ASSERT(stream.OnChunk(retry, SequenceNumber(1)) == StreamVerdict::kDeliver);
  }

  // Guards against a caller that waits without end on connections that stay silent.
  void GivesUpWithoutProgress() {
    StreamAssembler stream(kAttempt, 2);
    CPPUNIT_ASSERT(stream.OnSilence() == StreamVerdict::kResume);
    stream.OnChunk(kAttempt, SequenceNumber(0));
    CPPUNIT_ASSERT(stream.OnSilence() == StreamVerdict::kResume);
    CPPUNIT_ASSERT(stream.OnSilence() == StreamVerdict::kResume);
    CPPUNIT_ASSERT(stream.OnSilence() == StreamVerdict::kIncomplete);
    CPPUNIT_ASSERT(!stream.complete());
    CPPUNIT_ASSERT(stream.OnGiveUp() == StreamVerdict::kIgnore);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblerTest);

}  // namespace bamboodock
