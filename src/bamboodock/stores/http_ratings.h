#pragma once

#include <utility>

#include "bamboodock/stores/internal/store_client.h"
#include "bamboodock/stores/ratings.h"

namespace bamboodock {

/// Client of the platform's rating service.
class HttpRatings final : public RatingQueries {
 public:
  HttpRatings(Address peer, Duration timeout) : client_(std::move(peer), timeout) {}

  Result<std::vector<Rating>> RatingsAfter(std::uint64_t cursor, std::size_t limit) override;

 private:
  internal::StoreClient client_;
};

}  // namespace bamboodock
