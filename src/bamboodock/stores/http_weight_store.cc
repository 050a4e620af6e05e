#include "bamboodock/stores/http_weight_store.h"

namespace bamboodock {
namespace {

/// The store counts reads in windows of this length.
constexpr std::chrono::seconds kRateWindow{1};

}  // namespace

Result<std::string> HttpWeightStore::Load(const WeightName& name) {
  BOOST_LEAF_AUTO(response, call_.Read("/weights/" + EncodeUrlComponent(name.value()), ""));
  switch (response.status) {
    case 200:
      return std::move(response.body);
    case 404:
      return Raise(ResultCode::kNotFound, "weights " + name.value());
    case 429:
      return Raise(Failure{ResultCode::kOverloaded, "the weight store is above its rate",
                           RunState::kNotRun, kRateWindow});
    default:
      return Raise(ResultCode::kStoreUnavailable,
                   "the weight store answered with status " + std::to_string(response.status));
  }
}

}  // namespace bamboodock
