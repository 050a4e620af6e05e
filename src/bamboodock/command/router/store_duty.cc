#include "bamboodock/command/router/store_duty.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace bamboodock {
namespace {

/// How long the store holds a call of the operator's feed while other entries confirm the known
/// orders, so that the entries share the load of one call per second. A per-host part of the spread
/// is added, so that the calls of the entries do not coincide.
constexpr std::chrono::milliseconds kSharedOperatorFeedWait{1600};
constexpr std::chrono::milliseconds kSharedFeedWaitSpread{900};
/// Confirmations of other entries count only below this age.
constexpr std::chrono::milliseconds kMaxPeerCoverageAge{1200};
/// Timeout of a call in addition to the wait requested from the store.
constexpr std::chrono::milliseconds kAnswerTimeout{900};
/// The store answers calls at once while it is not known to answer again. A call that it held could
/// have been lost, and would be noticed only when its whole wait is over.
constexpr std::chrono::milliseconds kProbeWait{1};
/// Time over which the entries write their rows again after the store's return.
constexpr std::chrono::seconds kSelfRewriteSpread{5};
/// Name of the answers to writes in the log.
constexpr std::string_view kWrites = "writes";
constexpr std::size_t kInboxCapacity = 256;

/// Number of ignored rows that came with a copy; the others are of the era of the known ones.
std::size_t CountOutdated(const RowChanges& changes) {
  return static_cast<std::size_t>(std::count_if(
      changes.ignored.begin(), changes.ignored.end(),
      [](const IgnoredRow& row) { return row.revision.era != row.known_revision.era; }));
}

}  // namespace

StoreDuty::StoreDuty(const Address& store, const PeerRecord& self, const DirectoryCodec& codec,
                     const StoreProtocol& protocol, const Clock& clock, StoreListener& listener,
                     EventLog& log, RouterCounters& counters)
    : self_(self.host),
      decoder_(codec, log),
      protocol_(protocol),
      clock_(clock),
      listener_(listener),
      log_(log),
      counters_(counters),
      inbox_(loop_, kInboxCapacity, [this](StoreCommand& command) { HandleCommand(command); }),
      operator_watch_(codec.OperatorTable(), kOperatorTiming, codec, loop_.get_executor(), store),
      endpoint_watch_(codec.EndpointTable(), kEndpointTiming, codec, loop_.get_executor(), store),
      router_watch_(codec.RouterTable(), kRouterTiming, codec, loop_.get_executor(), store),
      writer_(loop_, store, self, codec, protocol, clock, log,
              [this](const HttpResponse& response, MonotonicTime sent) {
                IsOfPresentEra(response, sent, kWrites);
              }) {}

void StoreDuty::Start() {
  asio::co_spawn(loop_, Follow(operator_watch_, &StoreDuty::EmitOperator), asio::detached);
  asio::co_spawn(loop_, Follow(endpoint_watch_, &StoreDuty::EmitEndpoints), asio::detached);
  asio::co_spawn(loop_, Follow(router_watch_, &StoreDuty::EmitRouter), asio::detached);
  writer_.WriteSelf(std::chrono::milliseconds(0));
  writer_.Start();
  thread_ = std::thread([this] { loop_.run(); });
}

void StoreDuty::Stop() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

asio::awaitable<void> StoreDuty::Pause(TableWatch& watch, std::chrono::milliseconds time) {
  watch.retry_timer.expires_after(time);
  SocketError cancelled;
  co_await watch.retry_timer.async_wait(CaptureError(cancelled));
}

void StoreDuty::MarkFailing(TableWatch& watch, const std::string& reason, Duration call_time) {
  watch.rows.OnOutage();
  if (watch.failing) return;
  watch.failing = true;
  const MonotonicTime now = clock_.Now();
  watch.failing_since = now;
  log_.Write(
      Event::kStoreFailed, RequestId(),
      fmt::format("table={} reason='{}' call_ms={} answered_elsewhere_ms_ago={}", watch.table,
                  reason, ToMillis(call_time), ToMillis(now - AnsweredElsewhereAt(watch))));
}

void StoreDuty::RecordFailure(TableWatch& watch, MonotonicTime sent, const std::string& reason) {
  ++watch.failures;
  watch.failed_at = clock_.Now();
  watch.last_failed_call = watch.failed_at - sent;
  MarkFailing(watch, reason, watch.last_failed_call);
}

void StoreDuty::RecordSuccess(TableWatch& watch, const StoreAnswer& answer) {
  const MonotonicTime now = clock_.Now();
  watch.answered_at = now;
  watch.failures = 0;
  watch.rows.OnAnswer(answer.revision, now);
  if (!watch.failing) return;
  watch.failing = false;
  log_.Write(Event::kStoreBack, RequestId(),
             fmt::format("table={} revision={} era={} failing_ms={} last_failed_call_ms={} "
                         "answered_elsewhere_ms_ago={}",
                         watch.table, answer.revision.number, answer.revision.era.value(),
                         ToMillis(now - watch.failing_since), ToMillis(watch.last_failed_call),
                         ToMillis(now - AnsweredElsewhereAt(watch))));
  RestartOtherCalls(watch);
}

void StoreDuty::RecordHistoryLoss(TableWatch& watch) {
  // The feed cannot be resumed, so the table is listed again.
  watch.listed = false;
  log_.Write(Event::kStoreHistoryLost, RequestId(),
             fmt::format("table={} revision={} era={}", watch.table, watch.revision.number,
                         era_.era().value()));
}

bool StoreDuty::IsOfPresentEra(const HttpResponse& response, MonotonicTime sent,
                               std::string_view source) {
  const StoreEra previous = era_.era();
  const EraVerdict verdict = era_.Observe(protocol_.EraOf(response), sent, clock_.Now());
  counters_.store_era = era_.era().value();
  if (verdict == EraVerdict::kReturned) OnStoreReturned(previous, source);
  return verdict == EraVerdict::kCurrent;
}

void StoreDuty::OnStoreReturned(StoreEra previous, std::string_view noticed_by) {
  ++counters_.store_returns;
  return_progress_.OnReturn(clock_.Now());
  log_.Write(Event::kStoreReturned, RequestId(),
             fmt::format("era={} previous_era={} noticed_by={} op_revision={} servers_revision={}",
                         era_.era().value(), previous.value(), noticed_by,
                         operator_watch_.revision.number, endpoint_watch_.revision.number));
  // The clock of the store may have been set back with its rows.
  store_clock_ = StoreClock();
  for (TableWatch* watch : Watches()) ListAgain(*watch);
  writer_.OnStoreReturned(SpreadOverHosts(kSelfRewriteSpread));
}

void StoreDuty::ListAgain(TableWatch& watch) {
  watch.listed = false;
  watch.send_again = true;
  watch.retry_timer.cancel();
  if (watch.call_sent) watch.channel.Close();
}

void StoreDuty::RestartOtherCalls(const TableWatch& recovered) {
  for (TableWatch* other : Watches()) {
    if (other == &recovered) continue;
    other->retry_timer.cancel();
    if (!other->call_sent || *other->call_sent >= recovered.failed_at) continue;
    other->send_again = true;
    MarkFailing(*other, "call sent before table " + recovered.table + " was answered again",
                clock_.Now() - *other->call_sent);
    other->channel.Close();
  }
}

MonotonicTime StoreDuty::AnsweredElsewhereAt(const TableWatch& watch) const {
  MonotonicTime last{};
  for (const TableWatch* other : {&operator_watch_, &endpoint_watch_, &router_watch_}) {
    if (other != &watch) last = std::max(last, other->answered_at);
  }
  return last;
}

asio::awaitable<std::optional<StoreAnswer>> StoreDuty::Query(TableWatch& watch, HttpRequest request,
                                                             std::chrono::milliseconds timeout) {
  const MonotonicTime sent = clock_.Now();
  watch.call_sent = sent;
  watch.send_again = false;
  const HttpExchangeResult result = co_await watch.channel.Call(std::move(request), timeout);
  watch.call_sent.reset();
  const MonotonicTime received = clock_.Now();
  if (!result.response) {
    if (watch.send_again) co_return std::nullopt;
    RecordFailure(watch, sent, result.error.message());
    // Listings come in pages, so they get on where a feed has more changes than one answer holds.
    if (IsLimitError(result.error)) watch.listed = false;
    co_return std::nullopt;
  }
  if (!IsOfPresentEra(*result.response, sent, watch.table)) {
    watch.send_again = true;
    co_return std::nullopt;
  }
  std::optional<StoreAnswer> answer = HandleFailure(
      [&]() -> Result<std::optional<StoreAnswer>> {
        BOOST_LEAF_AUTO(read, protocol_.DecodeAnswer(*result.response, era_.era()));
        return std::optional(std::move(read));
      },
      [&](const Failure& failure) -> std::optional<StoreAnswer> {
        if (failure.code == ResultCode::kHistoryLost) {
          RecordHistoryLoss(watch);
        } else {
          RecordFailure(watch, sent, fmt::format("{} {}", Name(failure.code), failure.detail));
        }
        return std::nullopt;
      });
  if (!answer) co_return std::nullopt;
  RecordSuccess(watch, *answer);
  store_clock_.Observe(sent, answer->store_now);
  const MonotonicTime answered_at =
      store_clock_.EarliestAnswerTime(sent, received, answer->store_now);
  if (&watch == &operator_watch_) {
    covered_until_ = std::max(covered_until_, answered_at);
    orders_covered_until_ = answer->store_now;
  }
  store_now_ = answer->store_now;
  store_read_ = received;
  co_return answer;
}

void StoreDuty::RecordHeldBack(const TableWatch& watch, const RowChanges& changes) {
  counters_.store_rows_outdated += CountOutdated(changes);
  if (!changes.ignored.empty()) {
    const IgnoredRow& first = changes.ignored.front();
    log_.Write(Event::kStoreRowsIgnored, RequestId(),
               fmt::format("table={} rows={} first={} era={} revision={} known_era={} "
                           "known_revision={}",
                           watch.table, changes.ignored.size(), first.key,
                           first.revision.era.value(), first.revision.number,
                           first.known_revision.era.value(), first.known_revision.number));
  }
  const MonotonicTime now = clock_.Now();
  for (const DeferredRemoval& removal : changes.deferred) {
    log_.Write(Event::kRemovalDeferred, RequestId(),
               fmt::format("endpoint={} revision={} store_back_revision={} kept_ms={}", removal.key,
                           removal.revision.number, watch.rows.return_revision().number,
                           ToMillis(removal.until - now)));
  }
}

void StoreDuty::RecordListing(const TableWatch& watch, const RowChanges& changes) {
  const MonotonicTime now = clock_.Now();
  // Tables without a grace time keep no row that a copy lacks.
  const auto kept = std::count_if(changes.deferred.begin(), changes.deferred.end(),
                                  [&](const DeferredRemoval& row) { return row.until > now; });
  const auto reading = return_progress_.OnListed(watch.table, static_cast<std::size_t>(kept),
                                                 CountOutdated(changes), now);
  if (!reading) return;
  log_.Write(Event::kStoreReadAgain, RequestId(),
             fmt::format("era={} since_noticed_ms={} kept={} outdated={}", era_.era().value(),
                         ToMillis(reading->elapsed), reading->kept, reading->outdated));
}

asio::awaitable<bool> StoreDuty::ListAll(TableWatch& watch, Emit emit) {
  std::vector<StoreRow> rows;
  std::optional<StoreRevision> revision;
  std::string from;
  while (true) {
    HttpRequest request = protocol_.List(watch.table, from);
    std::optional<StoreAnswer> answer = co_await Query(watch, std::move(request), kAnswerTimeout);
    if (!answer) co_return false;
    // Pages of different eras are no listing of one state.
    if (revision && revision->era != answer->revision.era) co_return false;
    // Keeps the revision of the first page, so that the feed includes changes made between pages.
    if (!revision) revision = answer->revision;
    for (StoreRow& row : answer->rows) rows.push_back(std::move(row));
    if (!answer->more || rows.empty()) break;
    from = rows.back().key + '\0';
  }
  const RowChanges changes =
      watch.rows.Replace(std::move(rows), watch.revision, *revision, clock_.Now());
  RecordHeldBack(watch, changes);
  watch.listed = true;
  watch.listed_at = clock_.Now();
  watch.revision = *revision;
  RecordListing(watch, changes);
  Deliver(watch, emit, changes.rows);
  co_return true;
}

std::chrono::milliseconds StoreDuty::SpreadOverHosts(std::chrono::milliseconds longest) const {
  const std::string& host = self_.value();
  return std::chrono::milliseconds(XXH3_64bits(host.data(), host.size()) % longest.count());
}

std::chrono::milliseconds StoreDuty::FeedWait(const TableWatch& watch) const {
  std::chrono::milliseconds wait = watch.timing.feed_wait;
  const MonotonicTime now = clock_.Now();
  if (&watch == &operator_watch_ && now - peers_covered_until_ < kMaxPeerCoverageAge) {
    wait = kSharedOperatorFeedWait + SpreadOverHosts(kSharedFeedWaitSpread);
  }
  return UntilNextDue(watch, wait);
}

std::chrono::milliseconds StoreDuty::UntilNextDue(const TableWatch& watch,
                                                  std::chrono::milliseconds longest) const {
  const auto next = watch.rows.NextDue();
  if (!next) return longest;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*next - clock_.Now());
  return std::clamp(left, kProbeWait, longest);
}

asio::awaitable<bool> StoreDuty::Poll(TableWatch& watch, Emit emit) {
  const std::chrono::milliseconds wait = watch.failing ? kProbeWait : FeedWait(watch);
  HttpRequest request = protocol_.Feed(watch.table, watch.revision, wait);
  const auto timeout = wait + kAnswerTimeout;
  std::optional<StoreAnswer> answer = co_await Query(watch, std::move(request), timeout);
  if (!answer) {
    // Holds may end once the table is listed again.
    if (!watch.listed) co_return false;
    const std::vector<StoreRow> due = watch.rows.TakeDue(clock_.Now());
    if (!due.empty()) Deliver(watch, emit, due);
    co_return false;
  }
  watch.revision = std::max(watch.revision, answer->revision);
  RowChanges changes = watch.rows.Update(std::move(answer->rows), clock_.Now());
  RecordHeldBack(watch, changes);
  const std::vector<StoreRow> due = watch.rows.TakeDue(clock_.Now());
  changes.rows.insert(changes.rows.end(), due.begin(), due.end());
  Deliver(watch, emit, changes.rows);
  if (!changes.rows.empty() && watch.timing.batch_delay.count() > 0) {
    co_await Pause(watch, UntilNextDue(watch, watch.timing.batch_delay));
  }
  co_return true;
}

asio::awaitable<void> StoreDuty::PauseBeforeRetry(TableWatch& watch) {
  if (const auto delay = watch.TakeRetryDelay(clock_.Now())) {
    co_await Pause(watch, *delay);
  }
}

asio::awaitable<void> StoreDuty::Follow(TableWatch& watch, Emit emit) {
  while (true) {
    bool done = false;
    if (watch.listed) {
      done = co_await Poll(watch, emit);
    } else {
      done = co_await ListAll(watch, emit);
    }
    if (!done) {
      co_await PauseBeforeRetry(watch);
    }
  }
}

void StoreDuty::Deliver(TableWatch& watch, Emit emit, const std::vector<StoreRow>& rows) {
  counters_.store_rows_held = operator_watch_.rows.held_back() + endpoint_watch_.rows.held_back() +
                              router_watch_.rows.held_back();
  if ((this->*emit)(rows)) return;
  watch.rows.Forget(rows);
  watch.listed = false;
}

OperatorTableState StoreDuty::Coverage() const {
  return {operator_watch_.rows.Digest(), orders_covered_until_, operator_watch_.revision.era};
}

bool StoreDuty::EmitOperator(const std::vector<StoreRow>& rows) {
  return listener_.OnChange(OperatorDelta{decoder_.DecodeOperator(rows), covered_until_, store_now_,
                                          store_read_, Coverage(), store_clock_.offset()});
}

bool StoreDuty::EmitEndpoints(const std::vector<StoreRow>& rows) {
  return listener_.OnChange(decoder_.DecodeEndpoints(rows));
}

bool StoreDuty::EmitRouter(const std::vector<StoreRow>& rows) {
  RouterDelta delta = decoder_.DecodeRouter(rows);
  if (!delta.peers.empty()) listener_.OnPeers(delta.peers);
  return listener_.OnChange(std::move(delta));
}

void StoreDuty::HandleCommand(StoreCommand& command) {
  if (command.store) {
    for (TableWatch* watch : Watches()) {
      watch->channel.SetServer(*command.store);
    }
    writer_.SetServer(*command.store);
  }
  if (command.peers) OnPeerKnowledge(*command.peers);
  // A revision of an earlier era may have been given out again to another state of the row.
  if (command.progress && command.progress->revision.era == era_.era()) {
    writer_.WriteProgress(*command.progress);
  }
}

void StoreDuty::OnPeerKnowledge(const PeerKnowledge& peers) {
  peers_covered_until_ = peers.covered_until;
  if (!era_.IsBehind(peers.era) || peers.era == checked_era_) return;
  // A listing is answered at once, and its answer states the era.
  checked_era_ = peers.era;
  ListAgain(operator_watch_);
}

}  // namespace bamboodock
