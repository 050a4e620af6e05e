#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <utility>

namespace bamboodock {

/// Base of objects shared between threads, with an atomic intrusive reference count.
template <class Derived>
using RefCounted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

/// Counted reference to a `RefCounted` object.
template <class T>
using Ref = boost::intrusive_ptr<T>;

template <class T, class... Args>
Ref<T> MakeRef(Args&&... args) {
  return Ref<T>(new T(std::forward<Args>(args)...));
}

}  // namespace bamboodock
