#pragma once

#include <string>
#include <string_view>

#include "bamboodock/command/router/attempt_record.h"
#include "bamboodock/command/router/endpoint_call.h"

namespace bamboodock {

/// Fields of the log line about the end of an attempt.
///
/// @param trace Transfer of the attempt; null when nothing was sent.
/// @param detail Reason in a few words.
std::string AttemptText(const AttemptRecord& attempt, const AttemptReport& report,
                        const CallTrace* trace, std::string_view detail);

}  // namespace bamboodock
