#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "bamboodock/core/duty.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/snapshot_cell.h"
#include "bamboodock/observe/event.h"
#include "bamboodock/observe/hybrid_clock.h"

namespace bamboodock {

/// One event of one process.
struct TimelineEvent {
  EventTime at;
  Event event = Event::kStarted;
  RequestId request;
  std::string detail;
};

/// Immutable block of events.
class TimelineSegment : public RefCounted<TimelineSegment> {
 public:
  explicit TimelineSegment(std::vector<TimelineEvent> events) : events_(std::move(events)) {}
  const std::vector<TimelineEvent>& events() const { return events_; }

 private:
  std::vector<TimelineEvent> events_;
};

/// Immutable view of a process's timeline, oldest segment first.
class TimelineSnapshot : public RefCounted<TimelineSnapshot> {
 public:
  explicit TimelineSnapshot(std::vector<Ref<const TimelineSegment>> segments)
      : segments_(std::move(segments)) {}

  /// Events of `request`, or of all requests when it is empty, ordered by time.
  std::vector<TimelineEvent> Events(const RequestId& request) const;

 private:
  std::vector<Ref<const TimelineSegment>> segments_;
};

/// Duty that owns the timeline of a process and writes its events to the log.
class TimelineDuty : public Duty<TimelineDuty, TimelineEvent> {
 public:
  explicit TimelineDuty(HybridClock& clock);
  ~TimelineDuty() { Stop(); }

  /// Queues an event from any thread; when the ring is full or the duty has stopped, the event is
  /// dropped and counted.
  void Record(Event event, const RequestId& request, std::string detail);

  /// Events that `Record` has dropped.
  std::uint64_t dropped() const { return dropped_; }
  Ref<const TimelineSnapshot> snapshot() const { return snapshot_.Load(); }
  HybridClock& clock() { return clock_; }

  void Handle(TimelineEvent& event);
  MonotonicTime Tick();

 private:
  void Seal();
  void Publish();

  HybridClock& clock_;
  std::atomic<std::uint64_t> dropped_{0};
  std::vector<TimelineEvent> open_segment_;
  std::vector<Ref<const TimelineSegment>> segments_;
  bool changed_ = true;
  SnapshotCell<TimelineSnapshot> snapshot_;
};

}  // namespace bamboodock
