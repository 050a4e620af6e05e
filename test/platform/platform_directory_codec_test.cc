#include "platform/platform_directory_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "bamboodock/policy/random.h"
#include "platform/table_store_protocol.h"

namespace bamboodock::platform {
namespace {

constexpr const char* kConfig = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","prefix":"/a/","kind":"stream","timeoutMs":20000,
   "targetLatencyMs":4000,"priority":1,"sizes":["m0","m1","m2"],
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":3,
   "public":false,"resumable":true,"targetGapMs":2000},
  {"name":"r2","host":"h.example","prefix":"/a/b/","kind":"unsafe","timeoutMs":800,
   "service":"s2","maxAttempts":1,"public":true}],
  "services":[{"name":"s1","coldS":3.0,"coldPerS":8.9,"maxConnections":360,
   "engine":{"models":[{"name":"m0","cost":0.019}]}},{"name":"s2","coldS":0,"coldPerS":0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
  "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})";

constexpr const char* kRegistration =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,
        "state":"ready","coldRemainingMs":1500,"sequence":4,"born":1787956282063})";

constexpr StoreEra kEra(2);

StoreRow Row(std::string table, std::string key, std::string value) {
  return {std::move(table), std::move(key), std::move(value), {kEra, 5}, false};
}

/// Progress in a row; empty when there is none or the row is malformed.
std::optional<RolloutProgress> ReadProgress(const StoreRow& row) {
  return HandleFailure([&] { return PlatformDirectoryCodec().DecodeProgress(row); },
                       [](const Failure&) { return std::optional<RolloutProgress>(); });
}

/// Registration in which the text `from` is replaced.
std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kRegistration;
  return text.replace(text.find(from), from.size(), to);
}

template <class Read>
bool FailsWithBadMessage(Read read) {
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(read());
        return false;
      },
      [](const Failure& failure) { return failure.code == ResultCode::kBadMessage; });
}

}  // namespace

class PlatformDirectoryCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDirectoryCodecTest);
  CPPUNIT_TEST(ConfigIsDecoded);
  CPPUNIT_TEST(LongestPrefixWins);
  CPPUNIT_TEST(EndpointIsDecoded);
  CPPUNIT_TEST(MalformedRowsAreRejected);
  CPPUNIT_TEST(OddRegistrationsAreRejected);
  CPPUNIT_TEST(MutatedRowsNeverCrash);
  CPPUNIT_TEST(RolloutProgressRoundTrips);
  CPPUNIT_TEST(RemovedProgressNamesItsService);
  CPPUNIT_TEST(MalformedProgressIsRejected);
  CPPUNIT_TEST(StoreAnswersAreClassified);
  CPPUNIT_TEST(WritersOrderTheStatesOfTheirRows);
  CPPUNIT_TEST(EraIsReadFromEachAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields of the configuration that are lost or read in the wrong unit.
  void ConfigIsDecoded() {
    const auto table = Config();
    CPPUNIT_ASSERT(table->version() == ConfigVersion(7));
    const Route* route = table->FindRoute("h.example", "/a/x");
    CPPUNIT_ASSERT(route != nullptr && route->IsIdempotent());
    CPPUNIT_ASSERT(route->latency_objective == std::chrono::seconds(4));
    CPPUNIT_ASSERT(route->services.size() == 2 && route->models.size() == 3);
    CPPUNIT_ASSERT(table->FindAccount(ApiKey("k2"))->id == ClientAccountId("t1"));
    CPPUNIT_ASSERT(table->FindAccount(ApiKey("k3")) == nullptr);
    CPPUNIT_ASSERT(table->FindService(ServiceId("s1"))->cold_time == std::chrono::seconds(3));
  }

  // Guards against requests that are matched to the route of a shorter prefix.
  void LongestPrefixWins() {
    const auto table = Config();
    CPPUNIT_ASSERT(table->FindRoute("h.example", "/a/b/c")->id == RouteId("r2"));
    CPPUNIT_ASSERT(table->FindRoute("h.example", "/a/bc")->id == RouteId("r1"));
    CPPUNIT_ASSERT(table->FindRoute("h.example", "/b/") == nullptr);
    CPPUNIT_ASSERT(table->FindRoute("other.example", "/a/") == nullptr);
  }

  // Guards against fields of a registration that are lost or read in the wrong unit.
  void EndpointIsDecoded() {
    const EndpointRecord record = Endpoint(kRegistration);
    CPPUNIT_ASSERT(record.address == (Address{"10.0.0.9", 8080}));
    CPPUNIT_ASSERT(record.cold_remaining == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(record.started == StartTime(1787956282063));
    CPPUNIT_ASSERT(!record.draining);
  }

  // Guards against malformed rows of other writers that are taken for endpoints.
  void MalformedRowsAreRejected() {
    const PlatformDirectoryCodec directory;
    for (
        const char* value :
        {"", "not json", "[]", "{}", R"({"service":1})",
         R"({"service":"s1","address":"nowhere","zone":"z","version":"v1","slots":64,"state":"ready"})",
         R"({"service":"s1","address":"10.0.0.9:1","zone":"z","version":"v1","slots":64,"state":"odd"})",
         R"({"service":"s1","address":"10.0.0.9:1","zone":"z","version":"v1","slots":"64","state":"ready"})"}) {
      CPPUNIT_ASSERT(FailsWithBadMessage(
          [&] { return directory.DecodeEndpoint(Row("servers", "i", value)); }));
    }
    CPPUNIT_ASSERT(FailsWithBadMessage(
        [&] { return directory.DecodeOperatorRow(Row("op", "config", "{}")); }));
  }

  // Guards against an entry that ends, stops following the registrations or sends all requests to
  // one endpoint because of a row that another writer has left.
  void OddRegistrationsAreRejected() {
    std::vector<std::string> values{std::string(60000, '['), std::string(60000, '['), "\xff\xfe"};
    values[1] += std::string(60000, ']');
    std::string nested;
    for (int i = 0; i < 10000; ++i) nested += R"({"a":)";
    nested += "1" + std::string(10000, '}');
    values.push_back(nested);
    for (const char* number : {"1e300", "1e999", "-1", "4294967297", "4294967295", "1.5", "null"}) {
      values.push_back(Replace("64", number));
    }
    for (const char* number : {"1e300", "-1e300", "1e999", "9223372036854775807", "[]"}) {
      values.push_back(Replace("1500", number));
    }
    for (const char* number : {"1e300", "18446744073709551615", "1.5", "-1"}) {
      values.push_back(Replace("1787956282063", number));
    }
    for (const char* port : {"65536", "70000", "0", "-1", "99999999999999999999", "8080x", ""}) {
      values.push_back(Replace("8080", port));
    }
    values.push_back(Replace("10.0.0.9", "10.0.0.999"));
    values.push_back(Replace("\"ready\"", nested));
    for (const std::string& value : values) {
      CPPUNIT_ASSERT_MESSAGE(
          value.substr(0, 200), FailsWithBadMessage([&] {
            return PlatformDirectoryCodec().DecodeEndpoint(Row("servers", "e1", value));
          }));
    }
  }

  // Guards against rows that crash the process: single bytes of valid rows are changed at random.
  void MutatedRowsNeverCrash() {
    const PlatformDirectoryCodec directory;
    Random random(20261204);
    for (int round = 0; round < 3000; ++round) {
      std::string value = round % 2 == 0 ? kRegistration : kConfig;
      value[random.Below(value.size())] = static_cast<char>(random.Below(256));
      const StoreRow row = round % 2 == 0 ? Row("servers", "i", value) : Row("op", "config", value);
      HandleFailure(
          [&]() -> Result<void> {
            if (round % 2 == 0) {
              BOOST_LEAF_CHECK(directory.DecodeEndpoint(row));
            } else {
              BOOST_LEAF_CHECK(directory.DecodeOperatorRow(row));
            }
            return {};
          },
          [](const Failure& failure) { CPPUNIT_ASSERT(failure.code == ResultCode::kBadMessage); });
    }
  }

  // Guards against a rollout that starts again after all entries have restarted.
  void RolloutProgressRoundTrips() {
    RolloutProgress progress;
    progress.service = ServiceId("s1");
    progress.target = VersionId("v2");
    progress.order_revision = {kEra, 41};
    progress.state = RolloutState::kRolledBack;
    progress.started = std::chrono::milliseconds(7000);
    progress.revision = {kEra, 55};
    progress.verdicts = {{VersionId("v3"), {StoreEra(2), 30}, VersionStanding::kRejected},
                         {VersionId("v1"), {}, VersionStanding::kAccepted}};
    const auto writes = PlatformDirectoryCodec().EncodeProgress(progress);
    CPPUNIT_ASSERT(writes[0].expected_revision == progress.revision);
    CPPUNIT_ASSERT(writes[1].row.table == "status" && writes[1].row.key == "rollout/s1");
    CPPUNIT_ASSERT(writes[1].row.value.find("rolled_back") != std::string::npos);
    StoreRow row = writes[0].row;
    row.revision = {kEra, 60};
    const auto read = ReadProgress(row);
    CPPUNIT_ASSERT(read && read->state == RolloutState::kRolledBack);
    CPPUNIT_ASSERT(read->order_revision == progress.order_revision &&
                   read->revision == row.revision);
    CPPUNIT_ASSERT(read->started == std::chrono::milliseconds(7000));
    CPPUNIT_ASSERT(read->verdicts == progress.verdicts);
  }

  // Guards against a lost state that is never written again, since its removal is not seen, and
  // against the removal of another row that is taken for it.
  void RemovedProgressNamesItsService() {
    const PlatformDirectoryCodec codec;
    const auto removed = [&](const std::string& key, bool deleted) {
      return codec.RemovedProgress({"bamboodock", key, "", {kEra, 5}, deleted});
    };
    CPPUNIT_ASSERT(removed("rollout/s1", true) == ServiceId("s1"));
    CPPUNIT_ASSERT(removed("rollout/s1", false).empty() && removed("entry/h1", true).empty());
  }

  // Guards against a process that ends because of a row that another program wrote, and against an
  // unknown state that is taken for a known one.
  void MalformedProgressIsRejected() {
    const PlatformDirectoryCodec codec;
    for (const char* value :
         {"", "[]", "{}", R"({"target":7,"orderRevision":1,"state":0,"startedMs":1})",
          R"({"target":"v2","orderRevision":"x","state":0,"startedMs":1})",
          R"({"target":"v2","orderRevision":1,"state":3,"startedMs":1})",
          R"({"target":"v2","orderRevision":1,"state":-1,"startedMs":1})",
          R"({"target":"v2","orderRevision":1,"state":0,"startedMs":1,"verdicts":[7]})",
          R"({"target":"v2","orderRevision":1,"state":0,"startedMs":1,"verdicts":[
              {"version":"v1","orderEra":1,"orderRevision":1,"standing":3}]})"}) {
      const StoreRow row = Row("bamboodock", "rollout/s1", value);
      CPPUNIT_ASSERT_MESSAGE(value, FailsWithBadMessage([&] { return codec.DecodeProgress(row); }));
    }
    CPPUNIT_ASSERT(!ReadProgress(Row("bamboodock", "entry/h1", "10.0.0.1:7340")));
  }

  // Guards against store errors that are reported under the wrong code, and against values that are
  // not encoded in base64.
  void StoreAnswersAreClassified() {
    CPPUNIT_ASSERT(CodeOf({410, {}, ""}) == ResultCode::kHistoryLost);
    CPPUNIT_ASSERT(CodeOf({412, {}, ""}) == ResultCode::kStoreConflict);
    CPPUNIT_ASSERT(CodeOf({429, {}, ""}) == ResultCode::kStoreUnavailable);
    CPPUNIT_ASSERT(CodeOf({200, {}, "{\"rows\":[{}]}"}) == ResultCode::kBadMessage);
    const TableStoreProtocol protocol;
    const auto request = protocol.Transact({{Row("t", "k", "node-1"), StoreRevision{kEra, 3}}});
    CPPUNIT_ASSERT(request.body.find("bm9kZS0x") != std::string::npos);
    CPPUNIT_ASSERT(request.body.find("\"ver\":3") != std::string::npos);
    const HttpResponse response{
        200, {}, R"({"rows":[{"tableName":"t","part":"","key":"k","value":"bm9kZS0x","ver":9},
                 {"tableName":"t","part":"","key":"g","ver":10,"isGone":true}],
                 "ver":12,"nowMs":70,"morePages":false})"};
    HandleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(answer, protocol.DecodeAnswer(response, kEra));
          CPPUNIT_ASSERT(answer.rows.size() == 2 && answer.rows[0].value == "node-1");
          CPPUNIT_ASSERT(answer.rows[1].deleted && answer.revision.number == 12);
          CPPUNIT_ASSERT(answer.revision.era == kEra && answer.rows[0].revision.era == kEra);
          return {};
        },
        [](const Failure& failure) { CPPUNIT_FAIL(failure.detail); });
  }

  // Guards against states of a row that are ordered by the revisions of a store that has lost some.
  void WritersOrderTheStatesOfTheirRows() {
    const PlatformDirectoryCodec codec;
    const auto config = codec.SequenceOf(Row("op", "config", kConfig));
    CPPUNIT_ASSERT(config == (WriterSequence{0, 7}));
    const auto endpoint = codec.SequenceOf(Row("servers", "i-1", kRegistration));
    CPPUNIT_ASSERT(endpoint == (WriterSequence{1787956282063, 4}));
    CPPUNIT_ASSERT(!codec.SequenceOf(Row("op", "evacuate/z1", "{}")));
    for (const char* value : {"", "[]", "7", "{}", R"({"sequence":"x"})", R"({"born":1})"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !codec.SequenceOf(Row("servers", "i-1", value)));
      CPPUNIT_ASSERT_MESSAGE(value, !codec.SequenceOf(Row("op", "config", value)));
    }
  }

  // Guards against an era that is read from successes only, and against text that counts as one.
  void EraIsReadFromEachAnswer() {
    const TableStoreProtocol protocol;
    for (const int status : {200, 410, 412, 429, 503}) {
      CPPUNIT_ASSERT(protocol.EraOf({status, {{"store-era", "7"}}, ""}) == StoreEra(7));
    }
    CPPUNIT_ASSERT(!protocol.EraOf({200, {}, "{}"}));
    for (const char* text : {"", "x", "-1", "7x", "99999999999999999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !protocol.EraOf({200, {{"Store-Era", text}}, "{}"}));
    }
  }

 private:
  static ResultCode CodeOf(const HttpResponse& response) {
    return HandleFailure(
        [&]() -> Result<ResultCode> {
          BOOST_LEAF_CHECK(TableStoreProtocol().DecodeAnswer(response, kEra));
          return ResultCode::kOk;
        },
        [](const Failure& failure) { return failure.code; });
  }

  static Ref<const RouteTable> Config() {
    return HandleFailure(
        []() -> Result<Ref<const RouteTable>> {
          BOOST_LEAF_AUTO(row,
                          PlatformDirectoryCodec().DecodeOperatorRow(Row("op", "config", kConfig)));
          return row.config;
        },
        [](const Failure& failure) -> Ref<const RouteTable> {
          CPPUNIT_FAIL(failure.detail);
          return {};
        });
  }

  static EndpointRecord Endpoint(const std::string& value) {
    return HandleFailure(
        [&]() -> Result<EndpointRecord> {
          return PlatformDirectoryCodec().DecodeEndpoint(Row("servers", "i-1", value));
        },
        [](const Failure& failure) {
          CPPUNIT_FAIL(failure.detail);
          return EndpointRecord();
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDirectoryCodecTest);

}  // namespace bamboodock::platform
