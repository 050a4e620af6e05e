#include "bamboodock/policy/returned_row.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bamboodock {
namespace {

using Verdict = ReturnedRowVerdict;

constexpr WriteMark kEarlier{120, 1};
constexpr WriteMark kNewest{150, 2};
constexpr WriteMark kUnknown{130, 3};

RowBeforeReturn Known(bool removed = false) {
  return {{kEarlier, kNewest}, WriterSequence{1000, 7}, removed};
}

}  // namespace

/// Rows that the store holds after it has returned from an older copy (incident
/// store-returns-from-copy).
class ReturnedRowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnedRowTest);
  CPPUNIT_TEST(WriteThatTheCopyHoldsHasSurvived);
  CPPUNIT_TEST(EarlierWriteIsOutdated);
  CPPUNIT_TEST(RemovedRowOfTheCopyIsOutdated);
  CPPUNIT_TEST(LowerSequenceIsOutdated);
  CPPUNIT_TEST(RemovedStateWrittenAgainIsOutdated);
  CPPUNIT_TEST(StateWrittenAgainUnderALowerRevisionIsNewer);
  CPPUNIT_TEST(RemovalCoversUnreadStatesOfTheCopy);
  CPPUNIT_TEST(LaterStartIsNewer);
  CPPUNIT_TEST(RevisionGivenOutAgainIsAnotherWrite);
  CPPUNIT_TEST(UnknownWriteWithoutSequenceIsNewer);
  CPPUNIT_TEST(KnownWriteMadeAgainAfterTheReturnIsNewer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WriteThatTheCopyHoldsHasSurvived() { Expect(Verdict::kSurvived, Known(), {kNewest, {}}); }

  // Guards against an evacuation or rollout order that an older copy undoes.
  void EarlierWriteIsOutdated() { Expect(Verdict::kOutdated, Known(), {kEarlier, {}}); }

  // Guards against an endpoint that has left and is used again.
  void RemovedRowOfTheCopyIsOutdated() {
    Expect(Verdict::kOutdated, Known(true), {kNewest, WriterSequence{1000, 7}});
  }

  // Guards against an earlier state that the entry has never read, under any revision.
  void LowerSequenceIsOutdated() {
    for (const bool removed : {false, true}) {
      Expect(Verdict::kOutdated, Known(removed), {kUnknown, WriterSequence{1000, 6}});
      Expect(Verdict::kOutdated, Known(removed), {kUnknown, WriterSequence{999, 60}});
    }
  }

  // Guards against requests to an endpoint that has left, while lost writes are made again in
  // order.
  void RemovedStateWrittenAgainIsOutdated() {
    Expect(Verdict::kOutdated, Known(true), {kUnknown, WriterSequence{1000, 7}});
  }

  // Guards against a state that is dropped, since its revision was given out before.
  void StateWrittenAgainUnderALowerRevisionIsNewer() {
    Expect(Verdict::kNewer, Known(), {kUnknown, WriterSequence{1000, 7}});
    Expect(Verdict::kNewer, Known(), {kUnknown, WriterSequence{1000, 8}});
    Expect(Verdict::kNewer, Known(true), {kUnknown, WriterSequence{1000, 8}, false});
  }

  // Guards against requests to an endpoint whose removal was read without the state before it,
  // which the copy holds.
  void RemovalCoversUnreadStatesOfTheCopy() {
    Expect(Verdict::kOutdated, Known(true), {kUnknown, WriterSequence{1000, 8}});
  }

  void LaterStartIsNewer() {
    Expect(Verdict::kNewer, Known(true), {kUnknown, WriterSequence{2000, 1}});
  }

  // Guards against a change that is taken for the known row, since it has the same revision.
  void RevisionGivenOutAgainIsAnotherWrite() {
    const WriteMark same_revision{kNewest.revision, 9};
    Expect(Verdict::kNewer, Known(), {same_revision, WriterSequence{1000, 8}});
  }

  void UnknownWriteWithoutSequenceIsNewer() {
    const RowBeforeReturn known{{kNewest}, std::nullopt, true};
    Expect(Verdict::kNewer, known, {kUnknown, std::nullopt});
  }

  // Guards against an order that is given again as before and has no effect, since its revision is
  // given out again too.
  void KnownWriteMadeAgainAfterTheReturnIsNewer() {
    RowAfterReturn written{kEarlier, std::nullopt};
    written.may_be_of_copy = false;
    Expect(Verdict::kNewer, {{kEarlier, kNewest}, std::nullopt, false}, written);
    Expect(Verdict::kNewer, {{kEarlier}, std::nullopt, true}, written);
    written.sequence = WriterSequence{1000, 6};
    Expect(Verdict::kOutdated, Known(), written);
  }

 private:
  static void Expect(Verdict verdict, const RowBeforeReturn& before, const RowAfterReturn& after) {
    CPPUNIT_ASSERT(JudgeReturnedRow(before, after) == verdict);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnedRowTest);

}  // namespace bamboodock
