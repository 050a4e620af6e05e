#include "platform/http_wire_protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace bamboodock::platform {

class HttpWireProtocolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpWireProtocolTest);
  CPPUNIT_TEST(CallersCannotSetRouterHeaders);
  CPPUNIT_TEST(ConnectionOptionsAreDropped);
  CPPUNIT_TEST(MetadataIsDecoded);
  CPPUNIT_TEST(MalformedHeadersAreRejected);
  CPPUNIT_TEST(MalformedLengthHintIsIgnored);
  CPPUNIT_TEST(AttemptNamesEndpointAndAccount);
  CPPUNIT_TEST(AnswerToAnotherRequestIsDetected);
  CPPUNIT_TEST(NotExecutedAndWrongEndpointAreDetected);
  CPPUNIT_TEST(RetryAfterCountsForStatus503Only);
  CPPUNIT_TEST(RateLimitIsANonNegativeNumber);
  CPPUNIT_TEST(LoadReportMayStateTheSlowdown);
  CPPUNIT_TEST(UnreadableLoadReportIsFlagged);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that set their own account, access the KV cache of others or raise their
  // priority at the engine.
  void CallersCannotSetRouterHeaders() {
    const CallerRequest request = Read({{"x-bamboodock-attempt-id", "a1"},
                                        {"X-Bamboodock-Tenant", "other"},
                                        {"x-bamboodock-hold", "h"},
                                        {"X-Bamboodock-Pin-Ms", "9"},
                                        {"X-Bamboodock-Kv-Backup", "10.0.0.1:1"},
                                        {"Kv-From", "10.0.0.1:1/x"},
                                        {"Kv-Fetch", "10.0.0.1:1"},
                                        {"X-Bamboodock-Expect-Instance", "i"},
                                        {"X-Bamboodock-Expect-Version", "2"},
                                        {"X-Bamboodock-Request-Priority", "0"},
                                        {"X-Api-Key", "k"},
                                        {"X-Other", "kept"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, request.headers.size());
    CPPUNIT_ASSERT(FindHeader(request.headers, "X-Other") == "kept");
  }

  // Guards against hop-by-hop headers that reach an endpoint, and against a Connection header that
  // removes the attempt id.
  void ConnectionOptionsAreDropped() {
    const CallerRequest request = Read({{"X-Bamboodock-Attempt-Id", "a1"},
                                        {"Connection", "close, X-Private, X-Bamboodock-Attempt-Id"},
                                        {"X-Private", "p"},
                                        {"Host", "h.example"}});
    CPPUNIT_ASSERT(FindHeader(request.headers, "X-Private").empty());
    CPPUNIT_ASSERT(FindHeader(request.headers, "X-Bamboodock-Attempt-Id") == "a1");
  }

  // Guards against request headers that are decoded into the wrong field or unit.
  void MetadataIsDecoded() {
    const CallerRequest request = Read({{"X-Bamboodock-Attempt-Id", "a1"},
                                        {"X-Bamboodock-Time-Left-Ms", "1500"},
                                        {"X-Bamboodock-Model", "*"},
                                        {"X-Bamboodock-Token-Counts", "1460,80"},
                                        {"X-Bamboodock-Length-Hint", "64"},
                                        {"X-Bamboodock-Prompt-Prefix", "5c1e:800,91bd:410"},
                                        {"Last-Event-Id", "12"}});
    const RequestMetadata& metadata = request.metadata;
    CPPUNIT_ASSERT(metadata.time_left == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(metadata.any_model && metadata.model.empty());
    CPPUNIT_ASSERT(metadata.prompt_tokens == Tokens(1460) &&
                   metadata.max_output_tokens == Tokens(80));
    CPPUNIT_ASSERT(metadata.expected_output_tokens == Tokens(64));
    CPPUNIT_ASSERT(metadata.prompt_parts.size() == 2);
    CPPUNIT_ASSERT(metadata.prompt_parts[1].tokens == Tokens(410));
    CPPUNIT_ASSERT(metadata.last_event == 12U);
    // The router sets the model header, so the caller's wildcard must not reach the endpoint.
    CPPUNIT_ASSERT(FindHeader(request.headers, "X-Bamboodock-Model").empty());
  }

  // Guards against a missing attempt id or a malformed header that is accepted.
  void MalformedHeadersAreRejected() {
    CPPUNIT_ASSERT(!IsAccepted({{"X-Bamboodock-Time-Left-Ms", "5"}}));
    CPPUNIT_ASSERT(
        !IsAccepted({{"X-Bamboodock-Attempt-Id", "a"}, {"X-Bamboodock-Time-Left-Ms", "-1"}}));
    CPPUNIT_ASSERT(
        !IsAccepted({{"X-Bamboodock-Attempt-Id", "a"}, {"X-Bamboodock-Token-Counts", "x"}}));
    CPPUNIT_ASSERT(
        !IsAccepted({{"X-Bamboodock-Attempt-Id", "a"}, {"X-Bamboodock-Prompt-Prefix", "5c"}}));
    CPPUNIT_ASSERT(!IsAccepted({{"X-Bamboodock-Attempt-Id", "a"}, {"Last-Event-Id", "12x"}}));
  }

  // Guards against a request that is refused because of a hint that serving it does not need.
  void MalformedLengthHintIsIgnored() {
    for (const char* hint : {"", "0", "-5", "12x", "1e3", "99999999999999999999"}) {
      const CallerRequest request =
          Read({{"X-Bamboodock-Attempt-Id", "a1"}, {"X-Bamboodock-Length-Hint", hint}});
      CPPUNIT_ASSERT(!request.metadata.expected_output_tokens);
    }
  }

  // Guards against an attempt without its endpoint, account or remaining time in milliseconds.
  void AttemptNamesEndpointAndAccount() {
    const CallerRequest request = Read({{"X-Bamboodock-Attempt-Id", "a1"}});
    ForwardMetadata forward;
    forward.endpoint = EndpointId("i-1");
    forward.account = ClientAccountId("acct");
    forward.time_left = std::chrono::microseconds(1234567);
    const auto headers = HttpWireProtocol().AttemptHeaders(request, forward);
    CPPUNIT_ASSERT(FindHeader(headers, "X-Bamboodock-Expect-Instance") == "i-1");
    CPPUNIT_ASSERT(FindHeader(headers, "X-Bamboodock-Tenant") == "acct");
    CPPUNIT_ASSERT(FindHeader(headers, "X-Bamboodock-Time-Left-Ms") == "1234");
    CPPUNIT_ASSERT(FindHeader(headers, "Last-Event-Id").empty());
  }

  // Guards against an answer that is forwarded to the wrong caller.
  void AnswerToAnotherRequestIsDetected() {
    const HttpWireProtocol protocol;
    const auto head = protocol.DecodeAnswer(200,
                                            {{"X-Bamboodock-Attempt-Id", "a2"},
                                             {"X-Bamboodock-Response-Stamp", "s"},
                                             {"Content-Encoding", "gzip"},
                                             {"Content-Length", "5"}},
                                            AttemptId("a1"));
    CPPUNIT_ASSERT(!head.matches_request && head.has_digest && head.encoded);
    CPPUNIT_ASSERT(FindHeader(head.headers, "Content-Length").empty());
  }

  // Guards against an executed request that is taken for one that did not run.
  void NotExecutedAndWrongEndpointAreDetected() {
    const HttpWireProtocol protocol;
    const auto full = protocol.DecodeAnswer(
        503, {{"X-Bamboodock-Not-Executed", "1"}, {"X-Bamboodock-Server-Load", "64,12,64"}},
        AttemptId("a"));
    CPPUNIT_ASSERT(full.not_run && !full.wrong_endpoint);
    CPPUNIT_ASSERT(full.load && full.load->waiting == Concurrency(12));
    const auto other = protocol.DecodeAnswer(421, {}, AttemptId("a"));
    CPPUNIT_ASSERT(other.not_run && other.wrong_endpoint);
    CPPUNIT_ASSERT(!protocol.DecodeAnswer(503, {}, AttemptId("a")).not_run);
    const auto earlier = protocol.DecodeAnswer(
        503, {{"X-Bamboodock-Not-Executed", "1"}, {"X-Bamboodock-Attempt-Id", "b"}},
        AttemptId("a"));
    CPPUNIT_ASSERT(!earlier.not_run && !earlier.matches_request);
  }

  // Guards against an endpoint that is left out because of a malformed or endless Retry-After.
  void RetryAfterCountsForStatus503Only() {
    const auto retry_after = [](int status, const std::string& value) {
      return HttpWireProtocol()
          .DecodeAnswer(status, {{"Retry-After", value}}, AttemptId("a"))
          .retry_after;
    };
    CPPUNIT_ASSERT(retry_after(503, "1.5") == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(retry_after(503, "1e12") == std::chrono::hours(1));
    for (const char* value : {"", "-1", "nan", "soon", "Fri, 04 Dec 2026 23:45:13 GMT"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !retry_after(503, value));
    }
    CPPUNIT_ASSERT(!retry_after(429, "1"));
  }

  // Guards against slow endpoints that get as much work as fast ones because their reports are
  // dropped for the fourth figure.
  void LoadReportMayStateTheSlowdown() {
    const AnswerHead usual = DecodeLoad("64,12,64");
    CPPUNIT_ASSERT(usual.load && !usual.load->slowdown && !usual.unreadable_load);
    const AnswerHead slow = DecodeLoad("3, 1, 48, 262");
    CPPUNIT_ASSERT(slow.load && slow.load->slots == Concurrency(48) && !slow.unreadable_load);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.62, slow.load->slowdown->value(), 1e-9);
  }

  // Guards against reports in an unknown format that are dropped without a trace.
  void UnreadableLoadReportIsFlagged() {
    for (const char* text : {"", "3,1", "3,1,48,", "3,1,48,0", "3,1,48,-5", "3,1,48,nan",
                             "3,1,48,inf", "3,1,48,100,7", "x,1,48"}) {
      const AnswerHead head = DecodeLoad(text);
      CPPUNIT_ASSERT_MESSAGE(text, !head.load && head.unreadable_load);
    }
    CPPUNIT_ASSERT(!HttpWireProtocol().DecodeAnswer(200, {}, AttemptId("a1")).unreadable_load);
  }

  // Guards against an endpoint that is overloaded or left out because of a malformed limit.
  void RateLimitIsANonNegativeNumber() {
    const auto rate_limit = [](const std::string& value) {
      return HttpWireProtocol()
          .DecodeAnswer(200, {{"Server-Limit", value}}, AttemptId("a"))
          .rate_limit;
    };
    CPPUNIT_ASSERT(rate_limit("2.7") == RequestRate(2.7));
    CPPUNIT_ASSERT(rate_limit("0") == RequestRate(0));
    CPPUNIT_ASSERT(rate_limit("1e9") == RequestRate(1e9));
    for (const char* value : {"", "-1", "nan", "inf", "1e999", "abc", "2 a second", "1, 2"}) {
      CPPUNIT_ASSERT_MESSAGE(value, !rate_limit(value));
    }
  }

 private:
  static CallerRequest Read(const std::vector<HttpHeader>& headers) {
    CallerRequest request;
    const bool read = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(HttpWireProtocol().DecodeRequest(headers, request));
          return true;
        },
        [](const Failure&) { return false; });
    CPPUNIT_ASSERT(read);
    return request;
  }

  static AnswerHead DecodeLoad(const std::string& load) {
    return HttpWireProtocol().DecodeAnswer(200, {{"X-Bamboodock-Server-Load", load}},
                                           AttemptId("a1"));
  }

  static bool IsAccepted(const std::vector<HttpHeader>& headers) {
    CallerRequest request;
    return HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(HttpWireProtocol().DecodeRequest(headers, request));
          return true;
        },
        [](const Failure&) { return false; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpWireProtocolTest);

}  // namespace bamboodock::platform
