#pragma once

namespace bamboodock::standin {

struct Fault;
class FaultBoard;
class StateDuty;
class PlatformState;
class EngineDuty;
class ServiceState;

}  // namespace bamboodock::standin
