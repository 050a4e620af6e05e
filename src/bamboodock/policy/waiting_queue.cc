#include "bamboodock/policy/waiting_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboodock {

std::uint64_t WaitingQueue::WorkOf(const WaitingRequest& request) {
  return std::clamp(request.size, kMinWork, kMaxWork).value();
}

bool WaitingQueue::IsAged(const WaitingRequest& request, MonotonicTime now) {
  return now - request.arrived >= (request.latest_start - request.arrived) / kAgedDivisor;
}

std::optional<WaitingQueue::Position> WaitingQueue::Find(Account& account,
                                                         const Predicate& eligible) {
  for (auto session = account.sessions.begin(); session != account.sessions.end(); ++session) {
    const auto found =
        std::find_if(session->requests.begin(), session->requests.end(), std::cref(eligible));
    if (found != session->requests.end()) return Position{session, found};
  }
  return std::nullopt;
}

bool WaitingQueue::Contains(Level& level, const Predicate& eligible) {
  return std::any_of(level.accounts.begin(), level.accounts.end(),
                     [&](Account& account) { return Find(account, eligible).has_value(); });
}

WaitingQueue::Account& WaitingQueue::AccountOf(Level& level, const ClientAccountId& id) {
  const auto found = std::find_if(level.accounts.begin(), level.accounts.end(),
                                  [&](const Account& account) { return account.id == id; });
  if (found != level.accounts.end()) return *found;
  level.accounts.emplace_back().id = id;
  return level.accounts.back();
}

WaitingQueue::Session& WaitingQueue::SessionOf(Account& account, const SessionId& id) {
  const auto found = std::find_if(account.sessions.begin(), account.sessions.end(),
                                  [&](const Session& session) { return session.id == id; });
  if (found != account.sessions.end()) return *found;
  account.sessions.emplace_back().id = id;
  return account.sessions.back();
}

std::optional<WaitingRequest> WaitingQueue::Push(WaitingRequest request) {
  std::optional<WaitingRequest> displaced;
  if (full()) {
    const auto& [lowest, level] = *levels_.rbegin();
    if (request.priority > lowest) return request;
    if (request.priority == lowest) {
      std::size_t own = 0;
      std::size_t most = 0;
      for (const Account& account : level.accounts) {
        most = std::max(most, account.size);
        if (account.id == request.account) own = account.size;
      }
      if (own + 1 >= most) return request;
    }
    displaced = TakeVictim();
  }
  Level& level = levels_[request.priority];
  Account& account = AccountOf(level, request.account);
  Session& session = SessionOf(account, request.session);
  expiries_.insert(request.latest_start);
  session.requests.push_back(std::move(request));
  ++account.size;
  ++level.size;
  ++size_;
  return displaced;
}

WaitingRequest WaitingQueue::TakeVictim() {
  Level& level = levels_.rbegin()->second;
  const auto account =
      std::max_element(level.accounts.begin(), level.accounts.end(),
                       [](const Account& a, const Account& b) { return a.size < b.size; });
  Position newest{account->sessions.begin(), {}};
  for (auto session = account->sessions.begin(); session != account->sessions.end(); ++session) {
    if (session->requests.back().id > newest.session->requests.back().id) newest.session = session;
  }
  newest.request = std::prev(newest.session->requests.end());
  WaitingRequest victim = Take(level, account, newest);
  EraseEmptyLevels();
  return victim;
}

WaitingRequest WaitingQueue::Take(Level& level, std::list<Account>::iterator account,
                                  const Position& position) {
  WaitingRequest request = std::move(*position.request);
  expiries_.erase(expiries_.find(request.latest_start));
  position.session->requests.erase(position.request);
  if (position.session->requests.empty()) {
    account->sessions.erase(position.session);
  } else {
    account->sessions.splice(account->sessions.end(), account->sessions, position.session);
  }
  --account->size;
  --level.size;
  --size_;
  if (account->size == 0) level.accounts.erase(account);
  return request;
}

WaitingRequest WaitingQueue::PopEligible(Level& level, const Predicate& eligible) {
  auto account = level.accounts.begin();
  while (true) {
    if (account == level.accounts.end()) account = level.accounts.begin();
    const std::optional<Position> next = Find(*account, eligible);
    if (!next) {
      ++account;
      continue;
    }
    const std::uint64_t work = WorkOf(*next->request);
    if (work <= account->deficit) {
      account->deficit -= work;
      return Take(level, account, *next);
    }
    account->deficit += kQuantum.value();
    const auto turn_ended = account++;
    level.accounts.splice(level.accounts.end(), level.accounts, turn_ended);
  }
}

std::optional<WaitingRequest> WaitingQueue::Pop(MonotonicTime now) {
  const Predicate in_time = [now](const auto& request) { return now <= request.latest_start; };
  const Predicate aged = [&](const auto& request) {
    return in_time(request) && IsAged(request, now);
  };
  const Predicate not_aged = [&](const auto& request) {
    return in_time(request) && !IsAged(request, now);
  };
  for (auto& [priority, level] : levels_) {
    const bool has_aged = Contains(level, aged);
    const bool has_others = Contains(level, not_aged);
    if (!has_aged && !has_others) continue;
    level.aged_last = has_aged && (!has_others || !level.aged_last);
    std::optional<WaitingRequest> next = PopEligible(level, level.aged_last ? aged : not_aged);
    EraseEmptyLevels();
    return next;
  }
  return std::nullopt;
}

void WaitingQueue::Restore(WaitingRequest request) {
  Level& level = levels_[request.priority];
  level.aged_last = false;
  Account& account = AccountOf(level, request.account);
  const auto turn = std::find_if(level.accounts.begin(), level.accounts.end(),
                                 [&](const Account& other) { return &other == &account; });
  level.accounts.splice(level.accounts.begin(), level.accounts, turn);
  Session& session = SessionOf(account, request.session);
  const auto session_turn = std::find_if(account.sessions.begin(), account.sessions.end(),
                                         [&](const Session& other) { return &other == &session; });
  account.sessions.splice(account.sessions.begin(), account.sessions, session_turn);
  account.deficit = std::max(account.deficit + WorkOf(request), kQuantum.value());
  ++account.size;
  ++level.size;
  ++size_;
  expiries_.insert(request.latest_start);
  session.requests.push_front(std::move(request));
}

std::vector<WaitingRequest> WaitingQueue::Expire(MonotonicTime now) {
  std::vector<WaitingRequest> expired;
  if (expiries_.empty() || *expiries_.begin() > now) return expired;
  ForEach([&](const WaitingRequest& request) {
    if (request.latest_start <= now) expired.push_back(request);
  });
  for (const WaitingRequest& request : expired) Remove(request.id);
  return expired;
}

bool WaitingQueue::Remove(WaitingId id) {
  const Predicate is_it = [id](const WaitingRequest& request) { return request.id == id; };
  for (auto& [priority, level] : levels_) {
    for (auto account = level.accounts.begin(); account != level.accounts.end(); ++account) {
      const std::optional<Position> found = Find(*account, is_it);
      if (!found) continue;
      Take(level, account, *found);
      EraseEmptyLevels();
      return true;
    }
  }
  return false;
}

std::size_t WaitingQueue::Ahead(Priority priority, const ClientAccountId& account) const {
  std::size_t ahead = 0;
  for (const auto& [other, level] : levels_) {
    if (other < priority) ahead += level.size;
    if (other != priority) continue;
    const auto own =
        std::find_if(level.accounts.begin(), level.accounts.end(),
                     [&](const Account& candidate) { return candidate.id == account; });
    const std::size_t own_size = own == level.accounts.end() ? 0 : own->size;
    for (const Account& candidate : level.accounts) {
      ahead += std::min(candidate.size, candidate.id == account ? own_size : own_size + 1);
    }
  }
  return ahead;
}

void WaitingQueue::ForEach(const std::function<void(const WaitingRequest&)>& visit) const {
  for (const auto& [priority, level] : levels_) {
    for (const Account& account : level.accounts) {
      for (const Session& session : account.sessions) {
        for (const WaitingRequest& request : session.requests) visit(request);
      }
    }
  }
}

void WaitingQueue::EraseEmptyLevels() {
  std::erase_if(levels_, [](const auto& entry) { return entry.second.size == 0; });
}

}  // namespace bamboodock
