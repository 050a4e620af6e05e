#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/stores/http_host_list.h"
#include "bamboodock/stores/http_object_store.h"
#include "bamboodock/stores/http_ratings.h"
#include "bamboodock/stores/http_weight_store.h"
#include "fakes/fake_clock.h"
#include "fakes/standin_server.h"

namespace bamboodock {

class HttpStoresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStoresTest);
  CPPUNIT_TEST(ObjectRoundTripsUnchanged);
  CPPUNIT_TEST(AbsentObjectIsNotFound);
  CPPUNIT_TEST(HostAppearsAfterLag);
  CPPUNIT_TEST(RatingsAfterCursorAreOrdered);
  CPPUNIT_TEST(WeightReadsAreRateLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = std::make_unique<StandinServer>(
        standin::MakePlatform({std::chrono::seconds(10), RequestRate(1.0)}, clock_));
  }
  void tearDown() override { server_.reset(); }

  // Guards against an object whose bytes change on the way, so that they no longer match its hash.
  void ObjectRoundTripsUnchanged() {
    HttpObjectStore store(server_->address(), kTimeout);
    const std::string bytes("\0\xff\r\n{}", 6);
    CPPUNIT_ASSERT(Code([&] { return store.Put(ObjectHash("h1"), bytes); }) == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(bytes, Text([&] { return store.Load(ObjectHash("h1")); }));
  }

  // Guards against reporting an absent object as an unavailable store.
  void AbsentObjectIsNotFound() {
    HttpObjectStore store(server_->address(), kTimeout);
    CPPUNIT_ASSERT(Code([&] { return store.Load(ObjectHash("h2")); }) == ResultCode::kNotFound);
  }

  // Guards against a stand-in that shows host changes at once, which would leave the lag untested.
  void HostAppearsAfterLag() {
    HttpHostList list(server_->address(), kTimeout);
    server_->Post("/hosts", {{"id", "h1"}, {"address", "10.0.0.1"}, {"leaving", false}});
    CPPUNIT_ASSERT_EQUAL(std::string(), Hosts(list));
    clock_.Advance(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("h1 "), Hosts(list));
    server_->Post("/hosts", {{"id", "h1"}, {"address", "10.0.0.1"}, {"leaving", true}});
    CPPUNIT_ASSERT_EQUAL(std::string("h1 "), Hosts(list));
    clock_.Advance(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("h1(leaving) "), Hosts(list));
  }

  // Guards against ratings that are read twice or out of order.
  void RatingsAfterCursorAreOrdered() {
    HttpRatings ratings(server_->address(), kTimeout);
    for (const char* request : {"r1", "r2", "r3"}) {
      server_->Post("/ratings", {{"request", request}, {"version", "v"}, {"score", 0.5}});
    }
    const std::string found = Text([&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(list, ratings.RatingsAfter(1, 10));
      std::string text;
      for (const Rating& rating : list) text += rating.request.value() + " ";
      return text;
    });
    CPPUNIT_ASSERT_EQUAL(std::string("r2 r3 "), found);
  }

  // Guards against a refusal for the rate limit that is not reported as overload.
  void WeightReadsAreRateLimited() {
    HttpWeightStore store(server_->address(), kTimeout);
    const auto load = [&] { return store.Load(WeightName("small@2")); };
    CPPUNIT_ASSERT(Code(load) == ResultCode::kOk);
    CPPUNIT_ASSERT(Code(load) == ResultCode::kOverloaded);
    clock_.Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT(Code(load) == ResultCode::kOk);
  }

 private:
  static constexpr std::chrono::seconds kTimeout{20};

  template <class Call>
  static ResultCode Code(Call call) {
    return HandleFailure(
        [&]() -> Result<ResultCode> {
          BOOST_LEAF_CHECK(call());
          return ResultCode::kOk;
        },
        [](const Failure& failure) { return failure.code; });
  }

  template <class Call>
  static std::string Text(Call call) {
    return HandleFailure([&]() -> Result<std::string> { return call(); },
                         [](const Failure& failure) { return "failed: " + failure.detail; });
  }

  static std::string Hosts(HttpHostList& list) {
    return Text([&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(hosts, list.Hosts());
      std::string text;
      for (const HostRecord& host : hosts) {
        text += host.id.value() + (host.leaving ? "(leaving) " : " ");
      }
      return text;
    });
  }

  FakeClock clock_;
  std::unique_ptr<StandinServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStoresTest);

}  // namespace bamboodock
