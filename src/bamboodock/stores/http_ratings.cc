#include "bamboodock/stores/http_ratings.h"

namespace bamboodock {

Result<std::vector<Rating>> HttpRatings::RatingsAfter(std::uint64_t cursor, std::size_t limit) {
  BOOST_LEAF_AUTO(response, client_.Read("/ratings", "after=" + std::to_string(cursor) +
                                                         "&limit=" + std::to_string(limit)));
  const nlohmann::json answer = internal::StoreClient::Parse(response);
  std::vector<Rating> ratings;
  try {
    for (const nlohmann::json& item : answer.at("ratings")) {
      Rating rating;
      rating.cursor = item.at("cursor").get<std::uint64_t>();
      rating.request = RequestId(item.at("request").get<std::string>());
      rating.model = ModelId(item.at("model").get<std::string>());
      rating.version = VersionId(item.at("version").get<std::string>());
      rating.kind = item.at("kind").get<std::string>();
      rating.score = Ratio(item.at("score").get<double>());
      ratings.push_back(std::move(rating));
    }
  } catch (const nlohmann::json::exception& error) {
    return Raise(ResultCode::kStoreUnavailable, error.what());
  }
  return ratings;
}

}  // namespace bamboodock
