#include <cppunit/extensions/HelperMacros.h>

#include "fakes/following_entry.h"
#include "fakes/table_store.h"

namespace bamboodock {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Time for an entry to read a change while nothing fails.
constexpr milliseconds kReadLimit{5000};
/// Time for the entries to write again what the store has lost.
constexpr milliseconds kRewriteLimit{8000};
/// Revisions that the store gives out after the copy and loses.
constexpr std::uint64_t kManyLost = 40;
constexpr std::int64_t kStarted = 1'787'956'282'063;
constexpr int kRunning = 0;
constexpr int kCompleted = 1;

const std::set<std::string> kOldOnly{"e1"};
const std::set<std::string> kTargetOnly{"e2"};

json RowOfVersion(const std::string& version) {
  json row = RegistrationRow(kStarted, 1);
  row["version"] = version;
  return row;
}

}  // namespace

/// What an entry writes again of a rollout after the store has returned from an older copy.
class RolloutRewriteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutRewriteTest);
  CPPUNIT_TEST(CompletedRolloutStaysAndIsWrittenAgain);
  CPPUNIT_TEST(RolloutWhoseOrderIsWrittenAgainStays);
  CPPUNIT_TEST(WriteOfAnotherEraIsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = std::make_unique<TableStore>();
    store_->SkipRevisions(100);
    store_->Put("op", "config", ConfigRow(10, {"k1", "k2"}));
    store_->Put("servers", "e1", RowOfVersion("v1"));
    store_->Put("servers", "e2", RowOfVersion("v2"));
    entry_ = std::make_unique<FollowingEntry>(*store_, "h1");
  }
  void tearDown() override {
    entry_.reset();
    store_.reset();
  }

  // Guards against requests to the old version and a rollout that runs once more, since the copy
  // holds an earlier state of it.
  void CompletedRolloutStaysAndIsWrittenAgain() {
    const std::uint64_t order = PutOrder();
    PutProgress(order, kRunning);
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->Endpoints("k2") == kOldOnly; }));
    store_->TakeCopy();
    store_->SkipRevisions(kManyLost);
    PutProgress(order, kCompleted);
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return UsesTargetOnly(); }));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsWithin(kRewriteLimit, [&] { return IsStored(order, kCompleted); }));
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return UsesTargetOnly(); }));
  }

  // Guards against a completed rollout that begins anew, since the store has lost the order and its
  // state and the operator has written the order again.
  void RolloutWhoseOrderIsWrittenAgainStays() {
    store_->TakeCopy();
    store_->SkipRevisions(kManyLost);
    PutProgress(PutOrder(), kCompleted);
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return UsesTargetOnly(); }));
    store_->ReturnFromCopy();
    const std::uint64_t order = PutOrder();
    CPPUNIT_ASSERT(HoldsWithin(kRewriteLimit, [&] { return IsStored(order, kCompleted); }));
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1500), [&] { return UsesTargetOnly(); }));
  }

  // Guards against a write that was decided before the return and meets a revision that has been
  // given out again.
  void WriteOfAnotherEraIsNotSent() {
    PutOrder();
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->ConfigVersionInForce() == 10; }));
    RolloutProgress progress;
    progress.service = ServiceId("s1");
    progress.target = VersionId("v2");
    progress.revision = {StoreEra(2), 0};
    entry_->Write(progress);
    const auto is_stored = [&] { return store_->Value("bamboodock", "rollout/s1").has_value(); };
    CPPUNIT_ASSERT(HoldsFor(milliseconds(1000), [&] { return !is_stored(); }));
    progress.revision = {StoreEra(1), 0};
    entry_->Write(progress);
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, is_stored));
  }

 private:
  std::uint64_t PutOrder() {
    return store_->Put("op", "rollout/s1",
                       {{"service", "s1"}, {"target", "v2"}, {"durationS", 24.0}});
  }
  void PutProgress(std::uint64_t order, int state) {
    store_->Put("bamboodock", "rollout/s1",
                {{"target", "v2"}, {"orderRevision", order}, {"state", state}, {"startedMs", 0}});
  }
  bool UsesTargetOnly() {
    entry_->Tick();
    return entry_->Endpoints("k2") == kTargetOnly;
  }
  bool IsStored(std::uint64_t order, int state) {
    CPPUNIT_ASSERT(UsesTargetOnly());
    const auto value = store_->Value("bamboodock", "rollout/s1");
    if (!value) return false;
    const json expected{
        {"target", "v2"}, {"orderRevision", order}, {"state", state}, {"startedMs", 0}};
    return *value == ToBase64(expected.dump());
  }

  std::unique_ptr<TableStore> store_;
  std::unique_ptr<FollowingEntry> entry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutRewriteTest);

}  // namespace bamboodock
