#include <cppunit/extensions/HelperMacros.h>

#include "fakes/following_entry.h"
#include "fakes/table_store.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

/// Bounds of the operators' rules.
constexpr milliseconds kConfigApplyLimit{2000};
constexpr milliseconds kDrainLimit{2000};
/// Time for an entry to read a change while nothing fails.
constexpr milliseconds kReadLimit{5000};
/// Revisions that the store gives out after the copy and loses.
constexpr std::uint64_t kManyLost = 40;
constexpr std::int64_t kStarted = 1'787'956'282'063;

const std::set<std::string> kOne{"e1"};
const std::set<std::string> kBoth{"e1", "e2"};

}  // namespace

/// What an entry does after the store has returned from an older copy (incident
/// store-returns-from-copy).
class StoreReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnTest);
  CPPUNIT_TEST(ConfigurationUnderAKnownRevisionIsInForce);
  CPPUNIT_TEST(ConfigurationBelowAPassedRevisionIsInForce);
  CPPUNIT_TEST(EndpointBelowAPassedRevisionGetsRequests);
  CPPUNIT_TEST(DrainingUnderAKnownRevisionIsSeen);
  CPPUNIT_TEST(RemovedEndpointOfTheCopyGetsNoRequests);
  CPPUNIT_TEST(RemovalUnderAKnownRevisionTakesEffectAtOnce);
  CPPUNIT_TEST(RemovedKeyOfTheCopyStaysRemoved);
  CPPUNIT_TEST(DrainingEndpointStaysSoWhileStatesAreWrittenAgain);
  CPPUNIT_TEST(EndpointThatTheCopyLacksGetsRequestsUntilItIsBack);
  CPPUNIT_TEST(EvacuationThatTheCopyLacksStaysInForce);
  CPPUNIT_TEST(ReturnWithoutAnOutageIsNoticed);
  CPPUNIT_TEST(TwoReturnsCloseTogetherUndoNothing);
  CPPUNIT_TEST(RejectedConfigurationDoesNotHoldBackLaterOnes);
  CPPUNIT_TEST(RowOfTheEntryIsWrittenAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = std::make_unique<TableStore>();
    store_->SkipRevisions(100);
    store_->Put("op", "config", ConfigRow(10, {"k1", "k2"}));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 1));
    entry_ = std::make_unique<FollowingEntry>(*store_, "h1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == kOne; }));
    store_->TakeCopy();
  }
  void tearDown() override {
    entry_.reset();
    store_.reset();
  }

  // Guards against a key that is taken away and goes on to work, since the row has a revision that
  // was given out before.
  void ConfigurationUnderAKnownRevisionIsInForce() {
    LoseConfigurations();
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(
        HoldsWithin(kReadLimit, [&] { return entry_->ConfigAge() < milliseconds(200); }));
    store_->Put("op", "config", ConfigRow(90, {"k2"}, "/new/"));
    CPPUNIT_ASSERT(HoldsWithin(kConfigApplyLimit, [&] { return IsInForce(90); }));
    CPPUNIT_ASSERT(entry_->Code("/a/", "k1") == ResultCode::kUnauthorized);
    CPPUNIT_ASSERT(entry_->Code("/new/", "k2") == ResultCode::kOk);
  }

  // Guards against a configuration that is never read, since the store has passed the revision that
  // the entry knows before it reads again, so that no call fails.
  void ConfigurationBelowAPassedRevisionIsInForce() {
    LoseConfigurations();
    store_->GoAway();
    store_->RestoreCopy();
    store_->Put("op", "config", ConfigRow(90, {"k2"}, "/new/"));
    store_->SkipRevisions(2 * kManyLost);
    store_->Return();
    CPPUNIT_ASSERT(HoldsWithin(kConfigApplyLimit, [&] { return IsInForce(90); }));
  }

  // Guards against an endpoint that never gets requests, since the store has passed the revision
  // that the entry knows before it reads again.
  void EndpointBelowAPassedRevisionGetsRequests() {
    store_->SkipRevisions(kManyLost);
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2));
    store_->Put("op", "config", ConfigRow(80, {"k1", "k2"}));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return IsInForce(80); }));
    store_->GoAway();
    store_->RestoreCopy();
    store_->Put("servers", "e2", RegistrationRow(kStarted + 5000, 1));
    store_->SkipRevisions(2 * kManyLost);
    store_->Return();
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints().contains("e2"); }));
  }

  // Guards against requests to an endpoint that says that it leaves under a revision that was given
  // out before.
  void DrainingUnderAKnownRevisionIsSeen() {
    store_->SkipRevisions(kManyLost);
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2));
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == kBoth; }));
    store_->ReturnFromCopy();
    store_->Put("servers", "e2", RegistrationRow(kStarted, 2));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 3, "draining"));
    CPPUNIT_ASSERT(
        HoldsWithin(kDrainLimit, [&] { return Endpoints() == std::set<std::string>{"e2"}; }));
  }

  // Guards against requests to an endpoint that has left, since the copy still holds its row.
  void RemovedEndpointOfTheCopyGetsNoRequests() {
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    store_->SkipRevisions(kManyLost);
    store_->Remove("servers", "e1");
    CPPUNIT_ASSERT(
        HoldsWithin(kReadLimit, [&] { return Endpoints() == std::set<std::string>{"e2"}; }));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(4000), [&] { return !Endpoints().contains("e1"); }));
  }

  // Guards against a removal that is held back, since its revision is compared with one of the
  // other history.
  void RemovalUnderAKnownRevisionTakesEffectAtOnce() {
    store_->SkipRevisions(kManyLost);
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == kBoth; }));
    store_->ReturnFromCopy();
    store_->Put("servers", "e2", RegistrationRow(kStarted, 2));
    std::this_thread::sleep_for(milliseconds(500));
    store_->Remove("servers", "e1");
    CPPUNIT_ASSERT(
        HoldsWithin(kDrainLimit, [&] { return Endpoints() == std::set<std::string>{"e2"}; }));
  }

  // Guards against a key that was taken away and works again until the configuration is written
  // again.
  void RemovedKeyOfTheCopyStaysRemoved() {
    store_->Put("op", "config", ConfigRow(11, {"k2"}));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return IsInForce(11); }));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(3000), [&] {
      return entry_->Code("/a/", "k1") == ResultCode::kUnauthorized;
    }));
  }

  // Guards against requests to an endpoint that leaves, between the writing again of an earlier
  // state and of this one.
  void DrainingEndpointStaysSoWhileStatesAreWrittenAgain() {
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 3, "draining"));
    CPPUNIT_ASSERT(
        HoldsWithin(kReadLimit, [&] { return Endpoints() == std::set<std::string>{"e2"}; }));
    store_->ReturnFromCopy();
    store_->SkipRevisions(kManyLost);
    store_->Put("servers", "e2", RegistrationRow(kStarted, 2));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2));
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return !Endpoints().contains("e1"); }));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 3, "draining"));
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return !Endpoints().contains("e1"); }));
  }

  // Guards against endpoints without work, since they have not had the time to register again.
  void EndpointThatTheCopyLacksGetsRequestsUntilItIsBack() {
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == kBoth; }));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1200), [&] { return Endpoints() == kBoth; }));
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsFor(milliseconds(3000), [&] { return Endpoints() == kBoth; }));
  }

  // Guards against requests to a zone that the operator has taken out of use.
  void EvacuationThatTheCopyLacksStaysInForce() {
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1, "ready", "z2"));
    store_->TakeCopy();
    store_->Put("op", "evacuate/z1", nlohmann::json::object());
    const std::set<std::string> other{"e2"};
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == other; }));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(2000), [&] { return Endpoints() == other; }));
    store_->Put("op", "evacuate/z1", nlohmann::json::object());
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return Endpoints() == other; }));
    store_->Remove("op", "evacuate/z1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == kOne; }));
  }

  // Guards against a configuration that is never read, since no call has failed.
  void ReturnWithoutAnOutageIsNoticed() {
    LoseConfigurations();
    store_->RestoreCopy();
    store_->Put("op", "config", ConfigRow(90, {"k2"}));
    store_->SkipRevisions(2 * kManyLost);
    CPPUNIT_ASSERT(HoldsWithin(kConfigApplyLimit, [&] { return IsInForce(90); }));
  }

  // Guards against a state that is undone by a second return, before it was written again.
  void TwoReturnsCloseTogetherUndoNothing() {
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    store_->TakeCopy();
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2, "draining"));
    const std::set<std::string> other{"e2"};
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Endpoints() == other; }));
    LoseConfigurations();
    store_->ReturnFromCopy();
    std::this_thread::sleep_for(milliseconds(700));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return Endpoints() == other; }));
    store_->Put("op", "config", ConfigRow(90, {"k2"}, "/new/"));
    CPPUNIT_ASSERT(HoldsWithin(kConfigApplyLimit, [&] { return IsInForce(90); }));
  }

  // Guards against configurations that are not in force, since one that was rejected before the
  // return has a higher version.
  void RejectedConfigurationDoesNotHoldBackLaterOnes() {
    LoseConfigurations();
    nlohmann::json rejected = ConfigRow(1000, {"k2"});
    rejected["routes"] = "none";
    store_->Put("op", "config", rejected);
    std::this_thread::sleep_for(milliseconds(500));
    CPPUNIT_ASSERT(IsInForce(80));
    store_->ReturnFromCopy();
    store_->Put("op", "config", ConfigRow(90, {"k2"}, "/new/"));
    CPPUNIT_ASSERT(HoldsWithin(kConfigApplyLimit, [&] { return IsInForce(90); }));
  }

  // Guards against entries that start later and don't learn of this one.
  void RowOfTheEntryIsWrittenAgain() {
    constexpr milliseconds kRewriteLimit{8000};
    const auto is_written = [&] { return store_->Value("bamboodock", "entry/h1").has_value(); };
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, is_written));
    store_->Remove("bamboodock", "entry/h1");
    store_->TakeCopy();
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsWithin(kRewriteLimit, is_written));
  }

 private:
  std::set<std::string> Endpoints() { return entry_->Endpoints("k2"); }
  bool IsInForce(std::uint64_t version) const { return entry_->ConfigVersionInForce() == version; }

  /// Has the entry read configurations that the copy does not hold.
  void LoseConfigurations() {
    store_->SkipRevisions(kManyLost);
    store_->Put("op", "config", ConfigRow(80, {"k1", "k2"}));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return IsInForce(80); }));
  }

  std::unique_ptr<TableStore> store_;
  std::unique_ptr<FollowingEntry> entry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnTest);

}  // namespace bamboodock
