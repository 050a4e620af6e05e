#pragma once

#include <chrono>
#include <cstdint>

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Version number of the accepted configuration; never decreases.
using Epoch = Quantity<struct EpochTag, std::uint64_t>;
/// Fencing token of a lease; increases with each new holder.
using FencingToken = Quantity<struct FencingTag, std::uint64_t>;
/// Position of a chunk within one answer, from 0.
using SequenceNumber = Quantity<struct SequenceTag, std::uint64_t>;
/// Step of a request through a cascade or its retries, from 0.
using StepNumber = Quantity<struct StepTag, std::uint32_t>;
/// Tokens of a language model.
using Tokens = Quantity<struct TokensTag, std::uint64_t>;
/// Cost in millionths of the currency unit.
using CostMicros = Quantity<struct CostTag, std::uint64_t>;
/// Number of requests or streams open at the same time.
using Concurrency = Quantity<struct ConcurrencyTag, std::uint32_t>;
/// Size in bytes.
using Bytes = Quantity<struct BytesTag, std::uint64_t>;
/// Share, probability or quality between 0 and 1.
using Ratio = Quantity<struct RatioTag, double>;
/// Requests per second.
using RequestRate = Quantity<struct RequestRateTag, double>;

using Duration = std::chrono::nanoseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Whole milliseconds of a duration, as in log lines and messages.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace bamboodock
