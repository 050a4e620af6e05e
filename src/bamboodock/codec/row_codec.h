#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/policy/billing_record.h"
#include "bamboodock/policy/claim_rule.h"
#include "bamboodock/policy/lease_rule.h"

namespace bamboodock {

/// Row `head`: the accepted configuration.
struct HeadRow {
  Epoch epoch;
  PublicationId publication;
  ObjectHash object;
};

inline constexpr const char* kHeadKey = "head";
std::string PublicationKey(const PublicationId& id);
std::string BillingKey(const RequestId& id);
/// The idempotency key is hashed, so that a caller may choose any length and any bytes.
std::string ClaimKey(const ClientAccountId& account, const IdempotencyKey& key);
std::string LeaseKey(const EndpointId& endpoint);

std::string EncodeRow(const HeadRow& row);
std::string EncodeRow(const BillingRecord& row);
std::string EncodeRow(const ClaimRow& row);
/// @param renewal Counter of renewals; it changes the row although the holder stays the same.
std::string EncodeRow(const LeaseRow& row, std::uint64_t renewal);

/// The decoders fail with `kBadMessage`.
Result<HeadRow> DecodeHeadRow(const std::string& text);
Result<BillingRecord> DecodeBillingRecord(const std::string& text);
Result<ClaimRow> DecodeClaimRow(const std::string& text);
Result<LeaseRow> DecodeLeaseRow(const std::string& text);

}  // namespace bamboodock
