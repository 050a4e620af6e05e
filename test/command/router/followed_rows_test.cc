#include "bamboodock/command/router/followed_rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include <charconv>

namespace bamboodock {
namespace {

using std::chrono::seconds;
using Keys = std::vector<std::string>;

constexpr StoreEra kFirst(1);
constexpr StoreEra kSecond(2);
constexpr StoreEra kThird(3);
constexpr seconds kExpiryGrace{2};
constexpr seconds kMissingGrace{2};
constexpr seconds kHold{10};
const MonotonicTime kStart{seconds(1000)};

/// Reads values such as "3 draining" as states of one lifetime with this number; values without a
/// number state no order.
class NumberedValues final : public RowSequences {
 public:
  std::optional<WriterSequence> SequenceOf(const StoreRow& row) const override {
    std::uint64_t number = 0;
    const char* const end = row.value.data() + row.value.size();
    const auto result = std::from_chars(row.value.data(), end, number);
    if (result.ec != std::errc{}) return std::nullopt;
    return WriterSequence{1, number};
  }
};

StoreRow Row(const std::string& key, const std::string& value, StoreEra era, std::uint64_t number) {
  return {"t", key, value, {era, number}, false};
}

StoreRow Removal(const std::string& key, StoreEra era, std::uint64_t number) {
  return {"t", key, "", {era, number}, true};
}

/// Keys and values of delivered rows; removed ones without a value.
std::vector<std::string> Texts(const std::vector<StoreRow>& rows) {
  std::vector<std::string> texts;
  texts.reserve(rows.size());
  for (const StoreRow& row : rows) texts.push_back(row.key + (row.deleted ? "" : "=" + row.value));
  return texts;
}

}  // namespace

/// Rows of a table over returns of the store from an older copy (incident store-returns-from-copy).
class FollowedRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowedRowsTest);
  CPPUNIT_TEST(StateWrittenAgainInOrderUndoesNothing);
  CPPUNIT_TEST(OutdatedRowIsDeliveredAfterTheHold);
  CPPUNIT_TEST(HoldOutlastsAnOutage);
  CPPUNIT_TEST(MissingRowOutlastsAnOutage);
  CPPUNIT_TEST(MissingRowIsRemovedAfterTheGrace);
  CPPUNIT_TEST(MissingRowWrittenAgainStays);
  CPPUNIT_TEST(ListingAgainKeepsTheHold);
  CPPUNIT_TEST(RemovedRowOfTheCopyIsNotDeliveredOnceItIsGone);
  CPPUNIT_TEST(RemovalOfTheNewEraTakesEffectAtOnce);
  CPPUNIT_TEST(SecondReturnUndoesNothing);
  CPPUNIT_TEST(NewestStateOfASecondCopyEndsTheHold);
  CPPUNIT_TEST(OutagesEndNoHoldTooLate);
  CPPUNIT_TEST(RowWrittenAgainAndAgainIsDelivered);
  CPPUNIT_TEST(RowBelowThePositionOfTheLostEraIsDelivered);
  CPPUNIT_TEST(RowAfterARemovalThatWasNotAcceptedIsDelivered);
  CPPUNIT_TEST(StoreWithoutErasThatLosesHistoryIsFollowed);
  CPPUNIT_TEST(OrderGivenAgainAfterTheListingTakesEffect);
  CPPUNIT_TEST(DigestsAgreeWhileOneHoldsRows);
  CPPUNIT_TEST(RevisionsOfOneEraOrderTheRows);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests to an endpoint that drains, while its lost states are written again one
  // after the other.
  void StateWrittenAgainInOrderUndoesNothing() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102), Row("a", "3", kFirst, 103)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectUpdate({}, {Row("a", "2", kSecond, 110)});
    ExpectUpdate({"a=3"}, {Row("a", "3", kSecond, 111)});
    ExpectUpdate({"a=4"}, {Row("a", "4", kSecond, 112)});
  }

  // Guards against entries that never agree, since the writer has no reason to write again.
  void OutdatedRowIsDeliveredAfterTheHold() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102)});
    ExpectList({}, kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectDue({}, kHold - seconds(1));
    ExpectDue({"a=1"}, seconds(1));
  }

  // Guards against a state that is undone at the end of an outage in which nobody could write.
  void HoldOutlastsAnOutage() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    rows_.OnOutage();
    ExpectDue({}, 2 * kHold);
    rows_.OnAnswer({kSecond, 101}, now_);
    ExpectDue({}, kHold - seconds(1));
    ExpectDue({"a=1"}, seconds(1));
  }

  // Guards against endpoints that are given up, since they could not register in a second outage.
  void MissingRowOutlastsAnOutage() {
    Follow({Row("a", "1", kFirst, 101)});
    List(kSecond, 90, {});
    rows_.OnOutage();
    ExpectDue({}, 2 * kMissingGrace);
    rows_.OnAnswer({kSecond, 90}, now_);
    ExpectDue({}, kMissingGrace - seconds(1));
    ExpectDue({"a"}, seconds(1));
  }

  void MissingRowIsRemovedAfterTheGrace() {
    Follow({Row("a", "1", kFirst, 101)});
    ExpectList({}, kSecond, 90, {});
    ExpectDue({}, kMissingGrace - seconds(1));
    ExpectDue({"a"}, seconds(1));
    ExpectUpdate({"a=1"}, {Row("a", "1", kSecond, 101)});
  }

  void MissingRowWrittenAgainStays() {
    Follow({Row("a", "1", kFirst, 101)});
    List(kSecond, 90, {});
    ExpectUpdate({"a=1"}, {Row("a", "1", kSecond, 101)});
    ExpectDue({}, 2 * kMissingGrace);
  }

  // Guards against a state that is undone by a listing in the time in which it is held to.
  void ListingAgainKeepsTheHold() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102), Row("b", "1", kFirst, 103)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    now_ += seconds(1);
    ExpectList({}, kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectDue({"b"}, kMissingGrace - seconds(1));
    ExpectDue({"a=1"}, kHold - kMissingGrace);
  }

  // Guards against an endpoint that gets requests, although its row is neither known nor stored.
  void RemovedRowOfTheCopyIsNotDeliveredOnceItIsGone() {
    Follow({Row("a", "1", kFirst, 101), Removal("a", kFirst, 102)});
    ExpectList({}, kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectList({}, kSecond, 103, {});
    ExpectDue({}, 2 * kHold);
  }

  void RemovalOfTheNewEraTakesEffectAtOnce() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectUpdate({"a"}, {Removal("a", kSecond, 102)});
    ExpectDue({}, 2 * kHold);
  }

  // Guards against a state that is undone when the store returns from a copy twice.
  void SecondReturnUndoesNothing() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "3", kFirst, 103)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectUpdate({}, {Row("a", "2", kSecond, 102)});
    ExpectList({}, kThird, 102, {Row("a", "2", kThird, 102)});
    ExpectUpdate({"a=3"}, {Row("a", "3", kThird, 103)});
  }

  // Guards against a state of the first copy that is delivered, although the second copy holds the
  // newest one.
  void NewestStateOfASecondCopyEndsTheHold() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    ExpectList({}, kThird, 102, {Row("a", "2", kThird, 102)});
    ExpectDue({}, 2 * kHold);
  }

  // Guards against requests to an endpoint that has left, as long as a store is away every few
  // seconds.
  void OutagesEndNoHoldTooLate() {
    Follow({Row("a", "1", kFirst, 101)});
    List(kSecond, 90, {});
    std::vector<StoreRow> due;
    for (int outage = 0; outage < 3; ++outage) {
      rows_.OnOutage();
      now_ += seconds(1);
      rows_.OnAnswer({kSecond, 90}, now_);
      now_ += seconds(1);
      due = rows_.TakeDue(now_);
    }
    CPPUNIT_ASSERT(Texts(due) == Keys{"a"});
  }

  // Guards against an endpoint that is alive and gets no requests, since each renewal of its
  // registration begins a new hold.
  void RowWrittenAgainAndAgainIsDelivered() {
    Follow({Row("a", "1", kFirst, 101), Removal("a", kFirst, 102)});
    List(kSecond, 100, {});
    ExpectUpdate({}, {Row("a", "1", kSecond, 101)});
    now_ += kHold - seconds(1);
    ExpectUpdate({}, {Row("a", "1", kSecond, 102)});
    ExpectDue({"a=1"}, seconds(1));
  }

  // Guards against rows that are dropped, since a removal that was not accepted is stamped with a
  // position of the lost era.
  void RowBelowThePositionOfTheLostEraIsDelivered() {
    Follow({Row("a", "1", kFirst, 101)});
    rows_.Forget({Row("a", "1", kFirst, 101)});
    ExpectList({"a"}, kSecond, 90, {});
    ExpectUpdate({"a=1"}, {Row("a", "1", kSecond, 105)});
  }

  // The same for a row that is written right after the listing of one era.
  void RowAfterARemovalThatWasNotAcceptedIsDelivered() {
    Follow({Row("a", "1", kFirst, 101), Removal("a", kFirst, 150)});
    rows_.Forget({Removal("a", kFirst, 150)});
    ExpectList({"a"}, kFirst, 150, {});
    ExpectUpdate({"a=2"}, {Row("a", "2", kFirst, 151)});
  }

  // Guards against an endpoint without requests after a loss of history that no era shows.
  void StoreWithoutErasThatLosesHistoryIsFollowed() {
    constexpr StoreEra kNone(0);
    Follow({Row("a", "1", kNone, 101), Row("b", "1", kNone, 102), Removal("a", kNone, 149)});
    rows_.Replace({}, {kNone, 150}, {kNone, 127}, now_);
    ExpectUpdate({"a=2", "b=2"}, {Row("a", "2", kNone, 130), Row("b", "2", kNone, 131)});
  }

  // Guards against an order without effect that is given again as before, under the same revision.
  void OrderGivenAgainAfterTheListingTakesEffect() {
    Follow({Row("a", "on", kFirst, 101), Removal("a", kFirst, 102)});
    List(kSecond, 100, {});
    ExpectUpdate({"a=on"}, {Row("a", "on", kSecond, 101)});
  }

  // Guards against entries that don't vouch for each other's orders, since one of them has known
  // newer ones.
  void DigestsAgreeWhileOneHoldsRows() {
    Follow({Row("a", "1", kFirst, 101), Row("a", "2", kFirst, 102), Row("b", "1", kFirst, 103)});
    List(kSecond, 101, {Row("a", "1", kSecond, 101)});
    FollowedRows other("t", kRetention, order_);
    other.Replace({Row("a", "1", kSecond, 101)}, {}, {kSecond, 101}, now_);
    CPPUNIT_ASSERT_EQUAL(other.Digest(), rows_.Digest());
  }

  void RevisionsOfOneEraOrderTheRows() {
    Follow({Row("a", "2", kFirst, 102)});
    ExpectUpdate({}, {Row("a", "3", kFirst, 101)});
    ExpectUpdate({"a=1"}, {Row("a", "1", kFirst, 103)});
  }

 private:
  static constexpr RowRetention kRetention{
      .expiry_grace = kExpiryGrace, .missing_grace = kMissingGrace, .outdated_hold = kHold};

  void Follow(const std::vector<StoreRow>& rows) {
    for (const StoreRow& row : rows) rows_.Update({row}, now_);
  }
  std::vector<StoreRow> List(StoreEra era, std::uint64_t number, std::vector<StoreRow> rows) {
    return rows_.Replace(std::move(rows), {kFirst, 150}, {era, number}, now_).rows;
  }
  void ExpectList(const Keys& expected, StoreEra era, std::uint64_t number,
                  std::vector<StoreRow> rows) {
    CPPUNIT_ASSERT(Texts(List(era, number, std::move(rows))) == expected);
  }
  void ExpectUpdate(const Keys& expected, std::vector<StoreRow> rows) {
    CPPUNIT_ASSERT(Texts(rows_.Update(std::move(rows), now_).rows) == expected);
  }
  /// Rows that are due after some time.
  void ExpectDue(const Keys& expected, seconds passed) {
    now_ += passed;
    CPPUNIT_ASSERT(Texts(rows_.TakeDue(now_)) == expected);
  }

  NumberedValues order_;
  FollowedRows rows_{"t", kRetention, order_};
  MonotonicTime now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowedRowsTest);

}  // namespace bamboodock
