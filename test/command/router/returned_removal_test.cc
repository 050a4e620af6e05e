#include <cppunit/extensions/HelperMacros.h>

#include "fakes/following_entry.h"
#include "fakes/table_store.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

/// Bound of the operators' rules.
constexpr milliseconds kDrainLimit{2000};
/// Time for an entry to read a change while nothing fails.
constexpr milliseconds kReadLimit{5000};
constexpr std::int64_t kStarted = 1'787'956'282'063;

}  // namespace

/// Removals around a return of the store from an older copy, as plays of router processes have
/// shown them (`StoreReturnPlayTest`).
class ReturnedRemovalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnedRemovalTest);
  CPPUNIT_TEST(RemovalCoversStatesThatWereNotRead);
  CPPUNIT_TEST(RemovalBeforeTheFirstListingTakesEffectInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = std::make_unique<TableStore>();
    store_->SkipRevisions(100);
    store_->Put("op", "config", ConfigRow(10, {"k1"}));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 1));
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    entry_ = std::make_unique<FollowingEntry>(*store_, "h1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Sends("e1") && Sends("e2"); }));
  }
  void tearDown() override {
    entry_.reset();
    store_.reset();
  }

  // Guards against requests to an endpoint whose removal the entry has read, when the copy holds a
  // later state of its lifetime than the last one that the entry read before the removal: an answer
  // of the feed holds only the newest row. Seed 5 of the play.
  void RemovalCoversStatesThatWereNotRead() {
    // After an answer the entry pauses before it reads again, so it reads nothing in between.
    store_->Put("servers", "e3", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Sends("e3"); }));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 2));
    store_->TakeCopy();
    store_->Remove("servers", "e1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return !Sends("e1"); }));
    store_->GoAwayAndRestore();
    store_->Return();
    CPPUNIT_ASSERT(HoldsFor(milliseconds(4000), [&] { return !Sends("e1"); }));
  }

  // Guards against requests to an endpoint for more than 2 s after an entry can read that it was
  // removed: a removal before the first listing of the returned store is held back. Seeds 3 and 10
  // of the play, with a router that was frozen over the return.
  void RemovalBeforeTheFirstListingTakesEffectInTime() {
    store_->TakeCopy();
    store_->GoAwayAndRestore();
    store_->Remove("servers", "e1");
    store_->Return();
    CPPUNIT_ASSERT(HoldsWithin(kDrainLimit, [&] { return !Sends("e1"); }));
    CPPUNIT_ASSERT(Sends("e2"));
  }

 private:
  bool Sends(const std::string& endpoint) { return entry_->Endpoints("k1").contains(endpoint); }

  std::unique_ptr<TableStore> store_;
  std::unique_ptr<FollowingEntry> entry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnedRemovalTest);

}  // namespace bamboodock
