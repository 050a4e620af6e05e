#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/query/router/metrics_query.h"
#include "fakes/following_entry.h"
#include "fakes/table_store.h"

namespace bamboodock {
namespace {

using std::chrono::milliseconds;

/// Time for an entry to read a change, and to give up an endpoint that the copy lacks.
constexpr milliseconds kReadLimit{5000};
constexpr std::int64_t kStarted = 1'787'956'282'063;

const std::set<std::string> kLeaving{"e1"};
const std::set<std::string> kNew{"e2"};

}  // namespace

/// What an entry reports of the store's return from an older copy.
class StoreReturnMetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReturnMetricsTest);
  CPPUNIT_TEST(PageShowsEraAndRowsOfTheReturn);
  CPPUNIT_TEST(EachReturnIsReadAgainOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The copy holds endpoint e1, which has left since, and lacks endpoint e2.
  void setUp() override {
    store_ = std::make_unique<TableStore>();
    store_->SkipRevisions(100);
    store_->Put("op", "config", ConfigRow(10, {"k1"}));
    store_->Put("servers", "e1", RegistrationRow(kStarted, 1));
    entry_ = std::make_unique<FollowingEntry>(*store_, "h1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->Endpoints("k1") == kLeaving; }));
    store_->TakeCopy();
    // In this order no answer of the store shows e2 without the removal of e1.
    store_->Remove("servers", "e1");
    store_->Put("servers", "e2", RegistrationRow(kStarted, 1));
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->Endpoints("k1") == kNew; }));
  }
  void tearDown() override {
    entry_.reset();
    store_.reset();
  }

  // Guards against a return that an operator cannot see on the metrics page, or whose rows are not
  // counted.
  void PageShowsEraAndRowsOfTheReturn() {
    CPPUNIT_ASSERT(Shows("bamboodock_store_era 1"));
    CPPUNIT_ASSERT(Shows("bamboodock_store_returns_total 0"));
    CPPUNIT_ASSERT(Shows("bamboodock_store_rows_outdated_total 0"));
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(ShowsWithin(kReadLimit, "bamboodock_store_rows_outdated_total 1"));
    CPPUNIT_ASSERT(Shows("bamboodock_store_era 2"));
    CPPUNIT_ASSERT(Shows("bamboodock_store_returns_total 1"));
    CPPUNIT_ASSERT(!Shows("bamboodock_store_rows_held 0"));
    // The row of e1 is held back for longer than the removal of e2, which is given up here.
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->Endpoints("k1").empty(); }));
    CPPUNIT_ASSERT(ShowsWithin(kReadLimit, "bamboodock_store_rows_held 1"));
  }

  // Guards against a log that doesn't show when the tables of the new era have been read, or shows
  // each listing of a table as one of the return.
  void EachReturnIsReadAgainOnce() {
    CPPUNIT_ASSERT(Readings().empty());
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Readings().size() == 1; }));
    // The copy lacks the row of e2, and holds the row of e1.
    AssertReading(Readings().front(), "era=2 ", " kept=1 outdated=1");
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return entry_->Endpoints("k1").empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Readings().size());
    store_->ReturnFromCopy();
    CPPUNIT_ASSERT(HoldsWithin(kReadLimit, [&] { return Readings().size() == 2; }));
    AssertReading(Readings().back(), "era=3 ", " kept=0 outdated=1");
  }

 private:
  std::vector<std::string> Readings() const {
    return entry_->log().Details(Event::kStoreReadAgain);
  }
  static void AssertReading(const std::string& detail, const std::string& begin,
                            const std::string& end) {
    CPPUNIT_ASSERT_MESSAGE(detail, detail.starts_with(begin + "since_noticed_ms="));
    CPPUNIT_ASSERT_MESSAGE(detail, detail.ends_with(end));
  }

  /// Whether the metrics page has the line.
  bool Shows(const std::string& line) const {
    const MetricsQuery page(entry_->counters(), [] { return MakeRef<RouterStatus>(); });
    return page.Text().find("\n" + line + "\n") != std::string::npos;
  }
  bool ShowsWithin(milliseconds limit, const std::string& line) const {
    return HoldsWithin(limit, [&] { return Shows(line); });
  }

  std::unique_ptr<TableStore> store_;
  std::unique_ptr<FollowingEntry> entry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnMetricsTest);

}  // namespace bamboodock
