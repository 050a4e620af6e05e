#include "bamboodock/policy/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "bamboodock/policy/host_capacity.h"
#include "bamboodock/policy/upload_queue.h"
#include "policy/at.h"

namespace bamboodock {
namespace {

constexpr Bytes kLimit{8U << 20U};
constexpr Bytes kPiece{65536};
constexpr Bytes kLargeBody{1U << 20U};

class FakeUpload final : public Upload {
 public:
  using Upload::Upload;
  void GiveUp() override { claim().Release(); }
};

}  // namespace

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(ClaimsNeverExceedTheLimit);
  CPPUNIT_TEST(ClaimEndsWithItsOwner);
  CPPUNIT_TEST(OrdinaryBodyFindsRoomBesideUploadsThatStopShort);
  CPPUNIT_TEST(YoungUploadIsKept);
  CPPUNIT_TEST(CapacityOfSmallHosts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against claims that fill the budget so that a small request finds no room.
  void ClaimsNeverExceedTheLimit() {
    MemoryBudget budget(kLimit, held_);
    MemoryClaim large(budget);
    while (large.Grow(kPiece)) continue;
    CPPUNIT_ASSERT(large.size() == Bytes(kLimit.value() / 4 * 3));
    std::vector<MemoryClaim> small;
    while (small.emplace_back(budget).Grow(kPiece)) continue;
    CPPUNIT_ASSERT(budget.held() == kLimit);
    CPPUNIT_ASSERT(!small.back().Grow(Bytes(1)) && budget.held() == kLimit);
  }

  // Guards against bytes that stay claimed, or are released twice, when an owner is moved or ends.
  void ClaimEndsWithItsOwner() {
    MemoryBudget budget(kLimit, held_);
    {
      MemoryClaim first(budget);
      CPPUNIT_ASSERT(first.Grow(kPiece));
      MemoryClaim second(std::move(first));
      MemoryClaim third(budget);
      CPPUNIT_ASSERT(third.GrowTo(kPiece) && third.GrowTo(Bytes(1)));
      third = std::move(second);
      CPPUNIT_ASSERT(third.size() == kPiece);
    }
    CPPUNIT_ASSERT(budget.held() == Bytes(0));
  }

  // Guards against a crowd of uploads that never end and lock out all others. The limit of one body
  // alone, the earlier decision, holds the whole crowd; a budget that gives nothing up refuses an
  // ordinary body.
  void OrdinaryBodyFindsRoomBesideUploadsThatStopShort() {
    constexpr std::size_t kCrowd = 96;
    CPPUNIT_ASSERT(kCrowd * kLargeBody.value() > kLimit.value());
    for (const bool gives_up : {false, true}) {
      MemoryBudget budget(kLimit, held_);
      UploadQueue queue;
      std::vector<std::unique_ptr<FakeUpload>> crowd;
      for (std::size_t i = 0; i < kCrowd; ++i) {
        const MonotonicTime now = At(static_cast<std::int64_t>(10 * i));
        crowd.push_back(std::make_unique<FakeUpload>(budget));
        queue.Add(*crowd.back(), now);
        if (!GrowTo(*crowd.back(), kLargeBody, queue, now, gives_up)) crowd.pop_back();
      }
      FakeUpload ordinary(budget);
      queue.Add(ordinary, At(1500));
      CPPUNIT_ASSERT_EQUAL(gives_up, GrowTo(ordinary, kLargeBody, queue, At(1500), gives_up));
      CPPUNIT_ASSERT(budget.held() <= kLimit);
    }
  }

  // Guards against bodies that are given up although their callers send at the usual pace, and
  // against another order than that of arrival.
  void YoungUploadIsKept() {
    MemoryBudget budget(kLimit, held_);
    UploadQueue queue;
    FakeUpload first(budget);
    FakeUpload second(budget);
    FakeUpload third(budget);
    queue.Add(first, At(0));
    queue.Add(second, At(1));
    queue.Add(third, At(2));
    UploadQueue::Remove(second);
    CPPUNIT_ASSERT(queue.TakeOldest(At(999)) == nullptr);
    CPPUNIT_ASSERT(queue.TakeOldest(At(1001)) == &first);
    CPPUNIT_ASSERT(queue.TakeOldest(At(1001)) == nullptr);
    CPPUNIT_ASSERT(queue.TakeOldest(At(1002)) == &third);
    CPPUNIT_ASSERT(queue.TakeOldest(At(9999)) == nullptr);
  }

  // Guards against limits above what a host has, and against none at all on a very small one.
  void CapacityOfSmallHosts() {
    const HostCapacity small{Bytes(64U << 20U), 320};
    CPPUNIT_ASSERT(small.HeldBytesLimit() == Bytes((32U << 20U) / 3));
    CPPUNIT_ASSERT_EQUAL(60U, small.ConnectionLimit());
    const HostCapacity little_memory{Bytes(64U << 20U), 10250};
    CPPUNIT_ASSERT_EQUAL(512U, little_memory.ConnectionLimit());
    const HostCapacity least{Bytes(0), 0};
    CPPUNIT_ASSERT(least.HeldBytesLimit() == HostCapacity::kMinHeldBytes);
    CPPUNIT_ASSERT_EQUAL(HostCapacity::kMinConnections, least.ConnectionLimit());
  }

 private:
  static bool GrowTo(FakeUpload& upload, Bytes size, UploadQueue& queue, MonotonicTime now,
                     bool gives_up) {
    while (!upload.claim().GrowTo(size)) {
      Upload* const oldest = gives_up ? queue.TakeOldest(now) : nullptr;
      if (oldest == nullptr || oldest == &upload) return false;
      oldest->GiveUp();
    }
    return true;
  }

  std::atomic<std::uint64_t> held_{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace bamboodock
