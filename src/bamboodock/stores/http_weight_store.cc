#include "bamboodock/stores/http_weight_store.h"

namespace bamboodock {
namespace {

/// Time after which to retry: the store limits reads per window of this length.
constexpr std::chrono::seconds kRateLimitWindow{1};

}  // namespace

Result<std::string> HttpWeightStore::Load(const WeightName& name) {
  BOOST_LEAF_AUTO(response, client_.Read("/weights/" + EncodeUrlComponent(name.value()), ""));
  switch (response.status) {
    case 200:
      return std::move(response.body);
    case 404:
      return Raise(ResultCode::kNotFound, "the weight store has no weights " + name.value());
    case 429:
      return Raise(Failure{ResultCode::kOverloaded,
                           "the weight store refused the read with status 429: rate limit exceeded",
                           RunState::kNotRun, kRateLimitWindow});
    default:
      return Raise(ResultCode::kStoreUnavailable,
                   "the weight store answered with status " + std::to_string(response.status));
  }
}

}  // namespace bamboodock
