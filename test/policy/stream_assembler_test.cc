#include "bamboodock/policy/stream_assembler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {

namespace {

const AttemptId kAttempt("a");

}  // namespace

class StreamAssemblerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamAssemblerTest);
  CPPUNIT_TEST(DuplicatesAndGapsAreNotDelivered);
  CPPUNIT_TEST(TruncatedAnswerIsNotComplete);
  CPPUNIT_TEST(OtherAttemptIsIgnored);
  CPPUNIT_TEST(ReusedAttemptIdMixesAnswers);
  CPPUNIT_TEST(GivesUpWithoutProgress);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gap or a duplicate in the answer to the caller after a resume.
  void DuplicatesAndGapsAreNotDelivered() {
    StreamAssembler stream(kAttempt, 3);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(0)) == StreamVerdict::kDeliver);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(0)) == StreamVerdict::kIgnore);
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(2)) == StreamVerdict::kResume);
    CPPUNIT_ASSERT_EQUAL(SequenceNumber(1), stream.next());
    CPPUNIT_ASSERT(stream.OnChunk(kAttempt, SequenceNumber(1)) == StreamVerdict::kDeliver);
  }

  // Guards against presenting a truncated answer as complete.
  void TruncatedAnswerIsNotComplete() {
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

  // Guards against bytes of another request in the answer to the caller.
  void OtherAttemptIsIgnored() {
    StreamAssembler stream(kAttempt, 3);
    CPPUNIT_ASSERT(stream.OnChunk(AttemptId("b"), SequenceNumber(0)) == StreamVerdict::kIgnore);
    CPPUNIT_ASSERT(stream.OnEnd(AttemptId("b"), SequenceNumber(0)) == StreamVerdict::kIgnore);
  }

  // Shows that OtherAttemptIsIgnored does not hold when retries reuse the attempt id.
  void ReusedAttemptIdMixesAnswers() {
    StreamAssembler stream(kAttempt, 3);
    stream.OnChunk(kAttempt, SequenceNumber(0));
    const AttemptId retry = kAttempt;
    CPPUNIT_ASSERT(stream.OnChunk(retry, SequenceNumber(1)) == StreamVerdict::kDeliver);
  }

  // Guards against a caller that waits indefinitely when no connection delivers a chunk.
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
