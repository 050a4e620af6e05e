#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/routing/route.h"

namespace bamboodock {

/// Identifies a waiting request within one entry.
using WaitingId = Quantity<struct WaitingIdTag, std::uint64_t>;

/// A request that waits for a service.
struct WaitingRequest {
  WaitingId id;
  /// Priority of the account, or else of the route.
  Priority priority;
  /// Empty for callers without a key.
  ClientAccountId account;
  SessionId session;
  /// Estimated work, in prompt tokens.
  Tokens size;
  /// When the request arrived; for a returning caller, when it was refused.
  MonotonicTime arrived;
  /// The request is in time if it is sent no later than this.
  MonotonicTime latest_start;
};

/// Bounded queue in front of one service.
///
/// Load pattern: a burst beyond the capacity, most of it from one client account or one session, or
/// of small requests, beside callers with few or large ones.
///
/// A lower priority number goes first. Within a priority, accounts take turns by deficit round
/// robin, weighted by work, so that an account gets the same share whether it sends many or large
/// requests. The sessions of an account take turns, and the requests of a session go in the order
/// of their arrival.
///
/// A request that has waited for a quarter of the time that it had left on arrival goes first
/// within its priority. While requests of others wait as well, this holds at every second turn
/// only, since otherwise a burst of one account that ages as a whole would keep the others waiting.
class WaitingQueue {
 public:
  static constexpr std::size_t kCapacity = 256;
  /// Work that an account may have done in one turn: about one long prompt.
  static constexpr Tokens kQuantum{4000};
  /// Work of a request within these bounds: a small request takes a slot too, and one request does
  /// not cost its account more than four turns.
  static constexpr Tokens kMinWork{200};
  static constexpr Tokens kMaxWork{16000};
  /// Part of the time left on arrival after which a request goes first.
  static constexpr int kAgedDivisor = 4;

  /// Adds a request. Returns the one that finds no place when the queue is full: the newest of the
  /// account with most requests in the lowest priority, unless the added one is that.
  std::optional<WaitingRequest> Push(WaitingRequest request);
  /// Takes the first request that can still be in time.
  std::optional<WaitingRequest> Pop(MonotonicTime now);
  /// Puts a request back that `Pop` has returned and that cannot be sent yet. Several must be put
  /// back in the reverse order.
  void Restore(WaitingRequest request);
  /// Takes the requests that can no longer be in time.
  std::vector<WaitingRequest> Expire(MonotonicTime now);
  /// Takes a request out; returns whether it was waiting.
  bool Remove(WaitingId id);

  /// Number of requests that would be served before a new one, if requests take equal work.
  std::size_t Ahead(Priority priority, const ClientAccountId& account) const;
  /// When the first request can no longer be in time; empty for an empty queue.
  std::optional<MonotonicTime> NextExpiry() const {
    return expiries_.empty() ? std::nullopt : std::optional(*expiries_.begin());
  }
  void ForEach(const std::function<void(const WaitingRequest&)>& visit) const;
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool full() const { return size_ >= kCapacity; }

 private:
  struct Session {
    SessionId id;
    std::deque<WaitingRequest> requests;
  };
  struct Account {
    ClientAccountId id;
    /// Work that the account may still have done in its turn.
    std::uint64_t deficit = kQuantum.value();
    std::size_t size = 0;
    /// In the order of their turns.
    std::list<Session> sessions;
  };
  struct Level {
    /// In the order of their turns.
    std::list<Account> accounts;
    std::size_t size = 0;
    /// Whether the last request was taken because it had waited for long.
    bool aged_last = false;
  };
  using Predicate = std::function<bool(const WaitingRequest&)>;
  struct Position {
    std::list<Session>::iterator session;
    std::deque<WaitingRequest>::iterator request;
  };

  static std::uint64_t WorkOf(const WaitingRequest& request);
  static bool IsAged(const WaitingRequest& request, MonotonicTime now);
  static std::optional<Position> Find(Account& account, const Predicate& eligible);
  static bool Contains(Level& level, const Predicate& eligible);
  /// Takes the next request of those that are eligible, of which there must be one.
  WaitingRequest PopEligible(Level& level, const Predicate& eligible);
  /// Takes the request out and gives the turn to the next session of the account.
  WaitingRequest Take(Level& level, std::list<Account>::iterator account, const Position& position);
  /// Account and session of the request, which are added at the end if they are new.
  Account& AccountOf(Level& level, const ClientAccountId& id);
  static Session& SessionOf(Account& account, const SessionId& id);
  /// Takes out the newest request of the account with most requests in the lowest priority.
  WaitingRequest TakeVictim();
  void EraseEmptyLevels();

  std::map<Priority, Level> levels_;
  /// Latest starts of all requests.
  std::multiset<MonotonicTime> expiries_;
  std::size_t size_ = 0;
};

}  // namespace bamboodock
