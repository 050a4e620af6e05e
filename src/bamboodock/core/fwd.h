#pragma once

namespace bamboodock {

template <class Tag>
class StrongId;
template <class Tag, class Rep>
class Quantity;
template <class T>
class BoundedRing;
template <class T>
class SnapshotCell;
class Clock;
struct Failure;

}  // namespace bamboodock
