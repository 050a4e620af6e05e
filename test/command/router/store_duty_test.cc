#include "bamboodock/command/router/store_duty.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>

#include "bamboodock/core/boot_clock.h"
#include "fakes/null_event_log.h"
#include "fakes/scripted_server.h"
#include "platform/platform_directory_codec.h"
#include "platform/table_store_protocol.h"

namespace bamboodock {
namespace {

using ConnectionAction = ScriptedServer::ConnectionAction;
using Answer = ScriptedServer::Answer;

constexpr std::chrono::seconds kWaitTimeout{20};
/// An endpoint gets no requests later than this after the store has acknowledged that it leaves.
constexpr std::chrono::milliseconds kDrainLimit{2000};

std::string Http(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Rows(const std::string& rows, int revision) {
  return Http(200, R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(revision) +
                       R"(,"nowMs":1000,"morePages":false})");
}

/// Row of an endpoint; the value is {"service":"s","address":"10.0.0.1:80","zone":"z",
/// "version":"v1","slots":4,"state":"ready"} in base64.
std::string EndpointRow(const std::string& key, int revision) {
  return R"({"tableName":"servers","part":"","key":")" + key + R"(","ver":)" +
         std::to_string(revision) +
         R"(,"value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwi)"
         R"(dmVyc2lvbiI6InYxIiwic2xvdHMiOjQsInN0YXRlIjoicmVhZHkifQ=="})";
}

bool IsCallFor(const ScriptedServer::Request& request, const std::string& call,
               const std::string& table) {
  const std::string target(request.target());
  return target.starts_with("/-/" + call) && target.find("tableName=" + table) != std::string::npos;
}

/// Records the endpoints that the duty delivers.
class RecordingListener final : public StoreListener {
 public:
  bool OnChange(RouteCommand change) override {
    const std::lock_guard lock(mutex_);
    if (const auto* delta = std::get_if<EndpointDelta>(&change)) {
      if (pending_rejections_ > 0) {
        --pending_rejections_;
        return false;
      }
      for (const auto& record : delta->changed) endpoints_.insert(record.id.value());
      for (const auto& id : delta->removed) endpoints_.erase(id.value());
      ++endpoint_changes_;
      if (history_.empty() || history_.back().endpoints != endpoints_) {
        history_.push_back({std::chrono::steady_clock::now(), endpoints_});
      }
    }
    changed_.notify_all();
    return true;
  }
  /// Does not accept the next `count` endpoint changes.
  void RejectChanges(int count) {
    const std::lock_guard lock(mutex_);
    pending_rejections_ = count;
  }
  void OnPeers(const std::vector<PeerRecord>&) override {}

  bool Await(const std::set<std::string>& endpoints) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kWaitTimeout, [&] { return endpoints_ == endpoints; });
  }
  /// Waits until the endpoints become these, after those of the previous call; returns when they
  /// did, or nothing if they don't. A state that has ended meanwhile counts.
  std::optional<std::chrono::steady_clock::time_point> AwaitChangeTo(
      const std::set<std::string>& endpoints) {
    std::unique_lock lock(mutex_);
    const auto is_next = [&] {
      while (checked_changes_ < history_.size()) {
        if (history_[checked_changes_++].endpoints == endpoints) return true;
      }
      return false;
    };
    if (!changed_.wait_for(lock, kWaitTimeout, is_next)) return std::nullopt;
    return history_[checked_changes_ - 1].time;
  }
  bool Has(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return endpoints_.contains(id);
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::string> endpoints_;
  struct Change {
    std::chrono::steady_clock::time_point time;
    std::set<std::string> endpoints;
  };
  std::vector<Change> history_;
  std::size_t checked_changes_ = 0;
  int endpoint_changes_ = 0;
  int pending_rejections_ = 0;
};

constexpr const char* kRemovedEndpoint =
    R"({"tableName":"servers","part":"","key":"e1","ver":9,"isGone":true})";

/// Store that does not answer calls for some time, and from which an endpoint is removed later.
class InterruptedStore {
 public:
  Answer operator()(const ScriptedServer::Request& request, std::size_t) const {
    const auto elapsed = std::chrono::steady_clock::now() - start_;
    if (elapsed >= kSilentFrom && elapsed < kSilentUntil) {
      return {"", ConnectionAction::kWaitForPeer};
    }
    if (IsCallFor(request, "rows-get", "servers")) {
      return {Rows(EndpointRow("e1", 3), 3), ConnectionAction::kKeep};
    }
    std::this_thread::sleep_for(kFeedTime);
    const bool removed = elapsed >= kRemovedAfter;
    const bool lists = removed && IsCallFor(request, "rows-feed", "servers");
    return {Rows(lists ? kRemovedEndpoint : "", removed ? 9 : 5), ConnectionAction::kKeep};
  }
  std::chrono::steady_clock::time_point removed_at() const { return start_ + kRemovedAfter; }

 private:
  static constexpr std::chrono::milliseconds kFeedTime{20};
  static constexpr std::chrono::milliseconds kSilentFrom{300};
  static constexpr std::chrono::milliseconds kSilentUntil{1500};
  static constexpr std::chrono::milliseconds kRemovedAfter{3000};

  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// Default answer to calls that a test does not script.
Answer DefaultAnswer(const ScriptedServer::Request& request) {
  if (request.method() == boost::beast::http::verb::post) {
    return {Http(200, R"({"ver":1,"nowMs":1000})"), ConnectionAction::kKeep};
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return {Rows("", 1), ConnectionAction::kKeep};
}

}  // namespace

class StoreDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreDutyTest);
  CPPUNIT_TEST(ListsAndFollows);
  CPPUNIT_TEST(OddRowDoesNotStopTheOthers);
  CPPUNIT_TEST(ListsAgainAfterHistoryLoss);
  CPPUNIT_TEST(ListsAgainAfterAFeedOverTheLimit);
  CPPUNIT_TEST(KeepsExpiredEndpointsForGracePeriod);
  CPPUNIT_TEST(EndpointThatLeavesAfterAnOutageIsRemovedInTime);
  CPPUNIT_TEST(RemovalAfterTheReturnIsNotHeldBack);
  CPPUNIT_TEST(LostHistoryIsNoOutage);
  CPPUNIT_TEST(StoreWithoutHistoryIsListedWithPauses);
  CPPUNIT_TEST(RedeliversChangesThatWereNotAccepted);
  CPPUNIT_TEST(ExtraAnswerIsNotTakenForTheNextOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes and removals in the feed that are not applied after the first listing.
  void ListsAndFollows() {
    Run(
        [](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) return Keep(Rows(EndpointRow("e1", 3), 3));
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 3) {
            return Keep(Rows(EndpointRow("e2", 5) +
                                 R"(,{"tableName":"servers","part":"","key":"e1","ver":6,)"
                                 R"("isGone":true})",
                             6));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) { CPPUNIT_ASSERT(listener.Await({"e2"})); });
  }

  // Guards against a router that no longer follows the registrations because of one that cannot be
  // read.
  void OddRowDoesNotStopTheOthers() {
    // The first value is 30,000 opening brackets in base64, the second is not text.
    std::string odd;
    std::string nested;
    for (int i = 0; i < 10000; ++i) nested += "W1tb";
    for (const std::string& value : {"\"" + nested + "\"", std::string("7")}) {
      odd += R"(,{"tableName":"servers","part":"","key":"odd","ver":4,"value":)" + value + "}";
    }
    Run(
        [odd](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) {
            return Keep(Rows(EndpointRow("e1", 3) + odd, 4));
          }
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 4) {
            return Keep(Rows(EndpointRow("e2", 5) + odd + "," + kRemovedEndpoint, 9));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) { CPPUNIT_ASSERT(listener.Await({"e2"})); });
  }

  // Guards against endpoints that stay in use indefinitely because their removal fell into a gap of
  // the feed.
  void ListsAgainAfterHistoryLoss() {
    auto lists = std::make_shared<std::atomic<int>>(0);
    Run(
        [lists](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) {
            const bool first = (*lists)++ == 0;
            return Keep(first ? Rows(EndpointRow("e1", 3), 3) : Rows(EndpointRow("e2", 9), 9));
          }
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 3) {
            return Keep(Http(410, "{}"));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) { CPPUNIT_ASSERT(listener.Await({"e2"})); });
  }

  // Guards against a table that is never read again, since each call of its feed returns more than
  // one answer may have.
  void ListsAgainAfterAFeedOverTheLimit() {
    auto lists = std::make_shared<std::atomic<int>>(0);
    Run(
        [lists](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) {
            const bool first = (*lists)++ == 0;
            return Keep(first ? Rows(EndpointRow("e1", 3), 3) : Rows(EndpointRow("e2", 9), 9));
          }
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 3) {
            constexpr std::size_t kOverTheLimit = 8U << 20U;
            return Keep(Rows(std::string(kOverTheLimit, ' '), 5));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) { CPPUNIT_ASSERT(listener.Await({"e2"})); });
  }

  // Guards against an empty pool after an outage of the store during which registrations expired:
  // the endpoint is kept until it has had time to register again, and removed if it does not.
  void KeepsExpiredEndpointsForGracePeriod() {
    Run(
        [](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) return Keep(Rows(EndpointRow("e1", 3), 3));
          if (!IsCallFor(request, "rows-feed", "servers")) return DefaultAnswer(request);
          static std::atomic<int> feeds{0};
          const int feed = feeds++;
          if (feed < 2) return Keep(Http(503, "{}"));
          if (After(request) == 3) {
            return Keep(Rows(R"({"tableName":"servers","part":"","key":"e1","ver":6,)"
                             R"("isGone":true})",
                             6));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) {
          CPPUNIT_ASSERT(listener.Await({"e1"}));
          const auto kept_until = std::chrono::steady_clock::now() + std::chrono::milliseconds(900);
          CPPUNIT_ASSERT(listener.Await({}));
          CPPUNIT_ASSERT(std::chrono::steady_clock::now() >= kept_until);
        });
  }

  // Guards against requests to an endpoint that left after the end of an outage (incident
  // leaving-after-store-return).
  void EndpointThatLeavesAfterAnOutageIsRemovedInTime() {
    const InterruptedStore store;
    Run(store, [&](RecordingListener& listener) {
      CPPUNIT_ASSERT(listener.Await({"e1"}));
      std::this_thread::sleep_until(store.removed_at());
      CPPUNIT_ASSERT(listener.Has("e1"));
      CPPUNIT_ASSERT(listener.Await({}));
      const auto removal_time = std::chrono::steady_clock::now() - store.removed_at();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMillis(removal_time)), removal_time < kDrainLimit);
    });
  }

  // Guards against requests to an endpoint that leaves soon after a failed call, as if its
  // registration might return (incident leaving-after-store-return).
  void RemovalAfterTheReturnIsNotHeldBack() {
    auto feeds = std::make_shared<std::atomic<int>>(0);
    Run(
        [feeds](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) return Keep(Rows(EndpointRow("e1", 3), 3));
          if (!IsCallFor(request, "rows-feed", "servers")) return DefaultAnswer(request);
          const int feed = (*feeds)++;
          if (feed == 0) return Keep(Http(503, "{}"));
          if (feed == 1) return Keep(Rows("", 8));
          return Keep(Rows(feed == 2 ? kRemovedEndpoint : "", 9));
        },
        [](RecordingListener& listener) {
          CPPUNIT_ASSERT(listener.Await({"e1"}));
          const auto begin = std::chrono::steady_clock::now();
          CPPUNIT_ASSERT(listener.Await({}));
          CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < kDrainLimit);
        });
  }

  // Guards against requests to an endpoint that left while the history of the store was lost, as if
  // its registration might return (incident leaving-after-store-return).
  void LostHistoryIsNoOutage() {
    auto lists = std::make_shared<std::atomic<int>>(0);
    Run(
        [lists](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) {
            const bool first = (*lists)++ == 0;
            return Keep(first ? Rows(EndpointRow("e1", 3), 3) : Rows("", 9));
          }
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 3) {
            return Keep(Http(410, "{}"));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) {
          const auto listed = listener.AwaitChangeTo({"e1"});
          CPPUNIT_ASSERT(listed);
          const auto removed = listener.AwaitChangeTo({});
          CPPUNIT_ASSERT(removed);
          CPPUNIT_ASSERT(*removed - *listed < kDrainLimit);
        });
  }

  // Guards against calls without a pause to a store that answers each call of the feed with 410.
  void StoreWithoutHistoryIsListedWithPauses() {
    constexpr std::chrono::milliseconds kTime{1000};
    constexpr int kMaxLists = 10;
    auto lists = std::make_shared<std::atomic<int>>(0);
    Run(
        [lists](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-feed", "servers")) return Keep(Http(410, "{}"));
          if (!IsCallFor(request, "rows-get", "servers")) return DefaultAnswer(request);
          ++*lists;
          return Keep(Rows(EndpointRow("e1", 3), 3));
        },
        [&](RecordingListener& listener) {
          CPPUNIT_ASSERT(listener.Await({"e1"}));
          std::this_thread::sleep_for(kTime);
          CPPUNIT_ASSERT_MESSAGE(std::to_string(*lists), *lists <= kMaxLists);
        });
  }

  // Guards against loss of a change that did not fit in the ring of the planning duty: the feed
  // does not deliver these rows again.
  void RedeliversChangesThatWereNotAccepted() {
    Run(
        [](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) return Keep(Rows(EndpointRow("e1", 3), 3));
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) { CPPUNIT_ASSERT(listener.Await({"e1"})); }, 1);
  }

  // Guards against rows of an answer that the store sends without a call, which would be taken for
  // the answer to the next call on the kept connection.
  void ExtraAnswerIsNotTakenForTheNextOne() {
    Run(
        [](const auto& request, std::size_t) {
          if (IsCallFor(request, "rows-get", "servers")) {
            return Keep(Rows(EndpointRow("e1", 3), 3) + Rows(EndpointRow("e9", 9), 9));
          }
          if (IsCallFor(request, "rows-feed", "servers") && After(request) == 3) {
            return Keep(Rows(EndpointRow("e2", 5), 5));
          }
          return DefaultAnswer(request);
        },
        [](RecordingListener& listener) {
          CPPUNIT_ASSERT(listener.Await({"e1", "e2"}));
        });
  }

 private:
  static Answer Keep(std::string bytes) { return {std::move(bytes), ConnectionAction::kKeep}; }

  static int After(const ScriptedServer::Request& request) {
    const std::string target(request.target());
    const std::size_t at = target.find("after=");
    return at == std::string::npos ? -1 : std::stoi(target.substr(at + 6));
  }

  template <class Check>
  static void Run(ScriptedServer::Script script, Check check, int rejections = 0) {
    ScriptedServer store(std::move(script));
    RecordingListener listener;
    listener.RejectChanges(rejections);
    {
      NullEventLog log;
      RouterCounters counters;
      const BootClock clock;
      const platform::PlatformDirectoryCodec directory;
      const platform::TableStoreProtocol protocol;
      StoreDuty duty(store.address(), {HostId("h1"), {"127.0.0.1", 9}}, directory, protocol, clock,
                     listener, log, counters);
      duty.Start();
      check(listener);
      duty.Stop();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDutyTest);

}  // namespace bamboodock
