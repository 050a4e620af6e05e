#pragma once

#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>

#include "bamboodock/objects/availability_zone.h"
#include "bamboodock/objects/cascade.h"
#include "bamboodock/objects/client_account.h"
#include "bamboodock/objects/endpoint.h"
#include "bamboodock/objects/model.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// Whether a field may be left out, which gives it the default of its struct.
enum class Presence : std::uint8_t { kRequired, kOptional };

/// Accepted values of a numeric field, both ends included.
struct NumberRange {
  double min = 0;
  double max = 1'000'000;
};

/// Name, member and rules of one field of an object.
template <class Object, class Member>
struct Field {
  std::string_view name;
  Member Object::*member;
  Presence presence = Presence::kRequired;
  NumberRange range{};
};

template <class Object, class Member>
Field(std::string_view, Member Object::*) -> Field<Object, Member>;
template <class Object, class Member>
Field(std::string_view, Member Object::*, Presence) -> Field<Object, Member>;
template <class Object, class Member>
Field(std::string_view, Member Object::*, Presence, NumberRange) -> Field<Object, Member>;

/// Table of the fields of `Object`; codec, checker and diff share it.
template <class Object>
struct ObjectFields;

namespace internal {

inline constexpr NumberRange kRatioRange{0.0, 1.0};
inline constexpr NumberRange kPositiveCount{1, 1'000'000};
/// The upper bound keeps the product of a price and a million tokens within 64 bits.
inline constexpr NumberRange kCostRange{0, 1'000'000'000'000};
/// The lower bound is about one request in 17 minutes, the lowest useful rate.
inline constexpr NumberRange kRateRange{0.001, 1'000'000};
inline constexpr NumberRange kPriorityRange{0, 9};
inline constexpr NumberRange kStepRange{1, 16};

}  // namespace internal

template <>
struct ObjectFields<ModelGrant> {
  static constexpr std::tuple kFields{
      Field{"model", &ModelGrant::model},
      Field{"versions", &ModelGrant::versions, Presence::kOptional}};
};

template <>
struct ObjectFields<ClientAccount> {
  static constexpr std::string_view kKind = "account";
  static constexpr std::tuple kFields{
      Field{"id", &ClientAccount::id},
      Field{"key_hashes", &ClientAccount::key_hashes},
      Field{"models", &ClientAccount::models, Presence::kOptional},
      Field{"services", &ClientAccount::services, Presence::kOptional},
      Field{"rate", &ClientAccount::rate, Presence::kOptional, internal::kRateRange},
      Field{"burst", &ClientAccount::burst, Presence::kOptional, internal::kPositiveCount},
      Field{"concurrency", &ClientAccount::concurrency, Presence::kOptional,
            internal::kPositiveCount},
      Field{"priority", &ClientAccount::priority, Presence::kOptional, internal::kPriorityRange}};
};

template <>
struct ObjectFields<VersionShare> {
  static constexpr std::tuple kFields{
      Field{"version", &VersionShare::version},
      Field{"share", &VersionShare::share, Presence::kRequired, internal::kRatioRange}};
};

template <>
struct ObjectFields<Model> {
  static constexpr std::string_view kKind = "model";
  static constexpr std::tuple kFields{Field{"id", &Model::id}, Field{"shares", &Model::shares}};
};

template <>
struct ObjectFields<KindQuality> {
  static constexpr std::tuple kFields{
      Field{"kind", &KindQuality::kind},
      Field{"quality", &KindQuality::quality, Presence::kRequired, internal::kRatioRange}};
};

template <>
struct ObjectFields<Version> {
  static constexpr std::string_view kKind = "version";
  static constexpr std::tuple kFields{
      Field{"id", &Version::id},
      Field{"model", &Version::model},
      Field{"stage", &Version::stage, Presence::kOptional},
      Field{"cost_per_1k_prompt", &Version::cost_per_1k_prompt, Presence::kRequired,
            internal::kCostRange},
      Field{"cost_per_1k_completion", &Version::cost_per_1k_completion, Presence::kRequired,
            internal::kCostRange},
      Field{"quality", &Version::quality, Presence::kOptional, internal::kRatioRange},
      Field{"kinds", &Version::kinds, Presence::kOptional}};
};

template <>
struct ObjectFields<CascadeStep> {
  static constexpr std::tuple kFields{Field{"model", &CascadeStep::model},
                                      Field{"version", &CascadeStep::version}};
};

template <>
struct ObjectFields<Cascade> {
  static constexpr std::string_view kKind = "cascade";
  static constexpr std::tuple kFields{
      Field{"id", &Cascade::id}, Field{"steps", &Cascade::steps},
      Field{"quality_target", &Cascade::quality_target, Presence::kOptional, internal::kRatioRange},
      Field{"accept_confidence", &Cascade::accept_confidence, Presence::kOptional,
            internal::kRatioRange},
      Field{"max_steps", &Cascade::max_steps, Presence::kOptional, internal::kStepRange}};
};

template <>
struct ObjectFields<AvailabilityZone> {
  static constexpr std::string_view kKind = "availability_zone";
  static constexpr std::tuple kFields{
      Field{"id", &AvailabilityZone::id}, Field{"region", &AvailabilityZone::region},
      Field{"drained", &AvailabilityZone::drained, Presence::kOptional}};
};

template <>
struct ObjectFields<Endpoint> {
  static constexpr std::string_view kKind = "endpoint";
  static constexpr std::tuple kFields{
      Field{"id", &Endpoint::id},
      Field{"kind", &Endpoint::kind},
      Field{"service", &Endpoint::service},
      Field{"availability_zone", &Endpoint::availability_zone},
      Field{"address", &Endpoint::address},
      Field{"versions", &Endpoint::versions, Presence::kOptional},
      Field{"cold_limit", &Endpoint::cold_limit, Presence::kOptional, internal::kPositiveCount},
      Field{"warm_limit", &Endpoint::warm_limit, Presence::kOptional, internal::kPositiveCount},
      Field{"checks_fencing", &Endpoint::checks_fencing, Presence::kOptional}};
};

/// Type with a field table.
template <class T>
concept HasFields = requires {
  ObjectFields<T>::kFields;
};

/// Type that is published under a kind and an id.
template <class T>
concept PublishedObject = HasFields<T> && requires {
  ObjectFields<T>::kKind;
};

/// Calls `visit` with each field of `Object`, in table order.
template <HasFields Object, class Visit>
void ForEachField(Visit&& visit) {
  std::apply([&](const auto&... field) { (visit(field), ...); }, ObjectFields<Object>::kFields);
}

}  // namespace bamboodock
