#include "bamboodock/observe/timeline.h"

#include <algorithm>

#include "bamboodock/observe/log.h"

namespace bamboodock {
namespace {

constexpr std::size_t kSegmentSize = 512;
constexpr std::size_t kMaxSegments = config::kTimelineCapacity / kSegmentSize;
constexpr std::chrono::milliseconds kPublishInterval{200};

}  // namespace

std::vector<TimelineEvent> TimelineSnapshot::Events(const RequestId& request) const {
  std::vector<TimelineEvent> events;
  for (const auto& segment : segments_) {
    for (const TimelineEvent& event : segment->events()) {
      if (request.empty() || event.request == request) events.push_back(event);
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) { return a.at < b.at; });
  return events;
}

TimelineDuty::TimelineDuty(HybridClock& clock) : clock_(clock) {
  open_segment_.reserve(kSegmentSize);
}

void TimelineDuty::Record(Event event, const RequestId& request, std::string detail) {
  if (!Post(TimelineEvent{clock_.Tick(), event, request, std::move(detail)})) ++dropped_;
}

void TimelineDuty::Handle(TimelineEvent& event) {
  LogEvent(event.event, event.request, event.detail);
  open_segment_.push_back(std::move(event));
  changed_ = true;
  if (open_segment_.size() == kSegmentSize) Seal();
}

MonotonicTime TimelineDuty::Tick() {
  if (changed_) Publish();
  return std::chrono::steady_clock::now() + kPublishInterval;
}

void TimelineDuty::Seal() {
  segments_.push_back(MakeRef<TimelineSegment>(std::move(open_segment_)));
  open_segment_.clear();
  open_segment_.reserve(kSegmentSize);
  if (segments_.size() > kMaxSegments) segments_.erase(segments_.begin());
}

void TimelineDuty::Publish() {
  std::vector<Ref<const TimelineSegment>> segments = segments_;
  segments.push_back(MakeRef<TimelineSegment>(open_segment_));
  snapshot_.Store(MakeRef<TimelineSnapshot>(std::move(segments)));
  changed_ = false;
}

}  // namespace bamboodock
