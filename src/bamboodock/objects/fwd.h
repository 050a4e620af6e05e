#pragma once

namespace bamboodock {

struct ClientAccount;
struct Model;
struct Version;
struct Cascade;
struct AvailabilityZone;
struct Endpoint;
class ObjectSet;
class ObjectSetBuilder;

}  // namespace bamboodock
