#pragma once

namespace bamboodock::standin {

struct Fault;
class FaultInjector;
class StateDuty;
class PlatformState;
class EngineDuty;
class ServiceState;

}  // namespace bamboodock::standin
