#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <utility>

#include "bamboodock/core/bounded_ring.h"

namespace bamboodock {

/// Bounded ring that the event loop of a duty drains.
///
/// A push wakes the loop, which calls the receiver with each element on the loop's thread.
template <class T>
class RingInbox {
 public:
  RingInbox(boost::asio::io_context& loop, std::size_t capacity, std::function<void(T&)> receive)
      : loop_(loop), ring_(capacity), receive_(std::move(receive)) {}

  /// Any thread may call it; false when the ring is full.
  bool TryPush(T value) {
    if (!ring_.TryPush(std::move(value))) return false;
    boost::asio::post(loop_, [this] { Drain(); });
    return true;
  }

 private:
  void Drain() {
    while (auto value = ring_.TryPop()) receive_(*value);
  }

  boost::asio::io_context& loop_;
  BoundedRing<T> ring_;
  std::function<void(T&)> receive_;
};

}  // namespace bamboodock
