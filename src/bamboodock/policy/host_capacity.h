#pragma once

#include <algorithm>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// What the host grants to the process, and how the process divides it.
struct HostCapacity {
  /// Memory that the program needs before it holds anything for callers.
  static constexpr Bytes kProgramMemory{32U << 20U};
  /// A buffer that grows exists twice while it is copied, with spare room in the new one.
  static constexpr std::uint64_t kBytesPerHeldByte = 3;
  /// Memory for callers on a host that has less than the program needs.
  static constexpr Bytes kMinHeldBytes{8U << 20U};
  /// Descriptors for files, the store, metrics and listening sockets.
  static constexpr std::uint32_t kReservedDescriptors = 200;
  /// A request needs a connection from its caller and one to an endpoint.
  static constexpr std::uint32_t kDescriptorsPerConnection = 2;
  /// Memory of a connection beside what is claimed for its request: its first read, its buffers in
  /// the event loop and its coroutines.
  static constexpr Bytes kConnectionMemory{32768};
  /// Connections may use one part in this many of the memory.
  static constexpr std::uint64_t kConnectionMemoryDivisor = 4;
  static constexpr std::uint32_t kMinConnections = 16;

  Bytes memory{std::uint64_t{1024} << 20U};
  std::uint32_t descriptors = 8192;

  /// Limit of the bytes that are held for callers and endpoints.
  Bytes HeldBytesLimit() const {
    const std::uint64_t program = kProgramMemory.value();
    const std::uint64_t rest = memory.value() > program ? memory.value() - program : 0;
    return std::max(Bytes(rest / kBytesPerHeldByte), kMinHeldBytes);
  }

  /// Limit of the connections from callers.
  std::uint32_t ConnectionLimit() const {
    const std::uint32_t rest =
        descriptors > kReservedDescriptors ? descriptors - kReservedDescriptors : 0;
    const std::uint64_t by_memory =
        memory.value() / kConnectionMemoryDivisor / kConnectionMemory.value();
    const std::uint64_t both = std::min<std::uint64_t>(rest / kDescriptorsPerConnection, by_memory);
    return std::max(static_cast<std::uint32_t>(both), kMinConnections);
  }
};

}  // namespace bamboodock
