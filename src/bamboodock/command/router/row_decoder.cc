#include "bamboodock/command/router/row_decoder.h"

#include <utility>

namespace bamboodock {

std::vector<OperatorRow> RowDecoder::DecodeOperator(const std::vector<StoreRow>& rows) const {
  std::vector<OperatorRow> decoded_rows;
  for (const StoreRow& row : rows) {
    HandleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(decoded, codec_.DecodeOperatorRow(row));
          decoded_rows.push_back(std::move(decoded));
          return {};
        },
        [&](const Failure& failure) {
          log_.Write(Event::kConfigRejected, RequestId(), failure.detail);
        });
  }
  return decoded_rows;
}

EndpointDelta RowDecoder::DecodeEndpoints(const std::vector<StoreRow>& rows) const {
  EndpointDelta delta;
  for (const StoreRow& row : rows) {
    if (row.deleted) {
      delta.removed.emplace_back(row.key);
      continue;
    }
    HandleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(record, codec_.DecodeEndpoint(row));
          delta.changed.push_back(std::move(record));
          return {};
        },
        [&](const Failure& failure) {
          log_.Write(Event::kEndpointRejected, RequestId(), failure.detail);
          delta.removed.emplace_back(row.key);
        });
  }
  return delta;
}

RouterDelta RowDecoder::DecodeRouter(const std::vector<StoreRow>& rows) const {
  RouterDelta delta;
  for (const StoreRow& row : rows) {
    if (auto peer = codec_.DecodePeer(row)) delta.peers.push_back(*peer);
    const ServiceId removed = codec_.RemovedProgress(row);
    if (!removed.empty()) delta.removed_rollouts.push_back(removed);
    HandleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(progress, codec_.DecodeProgress(row));
          if (progress) delta.rollouts.push_back(*progress);
          return {};
        },
        [&](const Failure& failure) {
          log_.Write(Event::kConfigRejected, RequestId(), failure.detail);
        });
  }
  return delta;
}

}  // namespace bamboodock
