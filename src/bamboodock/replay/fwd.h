#pragma once

namespace bamboodock {

class RuleReplay;
class TraceFields;
struct Trace;
struct TraceLine;

}  // namespace bamboodock
