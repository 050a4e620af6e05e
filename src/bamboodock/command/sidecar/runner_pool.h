#pragma once

#include <functional>
#include <thread>
#include <vector>

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/admitted_attempt.h"
#include "bamboodock/command/sidecar/claim_duty.h"
#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// Result of one endpoint call.
struct EndpointAnswer {
  bool ok = false;
  bool cancelled = false;
  /// Whether the request may have reached the endpoint; if not, nothing ran.
  bool may_have_been_sent = false;
  int status = 0;
  std::string body;
  Failure failure;
  SequenceNumber chunks;
  Tokens prompt;
  Tokens completion;
  /// Mean token probability; negative when the engine sent no log probabilities.
  Ratio confidence{-1.0};
  /// Time to the first token or, for a plain call, to the whole answer; zero without one.
  Duration first_token{};
};

/// Strategy for calling an endpoint; one for each `AttemptKind`.
class EndpointClient {
 public:
  virtual ~EndpointClient() = default;
  /// Calls the endpoint and appends head and chunks to `admitted.log`. Blocks until the answer has
  /// ended or failed.
  virtual EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const = 0;
};

/// Streams a chat completion from a model engine.
class ChatEndpointClient final : public EndpointClient {
 public:
  EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const override;
};

/// Forwards a call to a plain service.
class PlainEndpointClient final : public EndpointClient {
 public:
  EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const override;
};

/// Thread pool that runs admitted attempts; each thread makes one endpoint call at a time.
class RunnerPool final : public AttemptQueue {
 public:
  struct Parts {
    Address endpoint;
    LedgerDuty& ledger;
    TimelineDuty& timeline;
  };

  RunnerPool(Parts parts, Concurrency threads);
  ~RunnerPool() override { Stop(); }

  /// Sets the receivers of outcomes; must be called before `Start()`.
  void SetReceivers(AdmissionDuty& admission, ClaimDuty& claims);
  void Start();
  void Stop();

  bool TryPush(AdmittedAttempt admitted) override { return ring_.TryPush(std::move(admitted)); }

 private:
  void Run();
  void Execute(AdmittedAttempt& admitted);
  void Finish(const AdmittedAttempt& admitted, const EndpointAnswer& answer);
  /// Finishes the answer log. That of a claimed call is finished by the claim duty once the claim
  /// row is stored.
  void FinishAnswer(const AdmittedAttempt& admitted, const EndpointAnswer& answer,
                    std::string end_message);
  /// Posts the billing record to the ledger and returns the cost of the attempt; cancels the ledger
  /// reservation when nothing ran.
  CostMicros RecordBilling(const AdmittedAttempt& admitted, const EndpointAnswer& answer);

  Parts parts_;
  Concurrency threads_;
  ChatEndpointClient chat_;
  PlainEndpointClient plain_;
  AdmissionDuty* admission_ = nullptr;
  ClaimDuty* claims_ = nullptr;
  BoundedRing<AdmittedAttempt> ring_;
  std::vector<std::thread> workers_;
};

}  // namespace bamboodock
