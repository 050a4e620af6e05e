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

/// What a call of the endpoint produced.
struct EndpointAnswer {
  bool ok = false;
  bool cancelled = false;
  /// The request may have reached the endpoint.
  bool may_have_been_sent = false;
  int status = 0;
  std::string body;
  Failure failure;
  SequenceNumber chunks;
  Tokens prompt;
  Tokens completion;
  Ratio confidence{-1.0};
  Duration first_token{};
};

/// Way to call an endpoint; one for each kind of work.
class EndpointCaller {
 public:
  virtual ~EndpointCaller() = default;
  /// Calls the endpoint and appends head and chunks to the log of `work`.
  virtual EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const = 0;
};

/// Streams a chat from a model engine.
class ChatCaller final : public EndpointCaller {
 public:
  EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const override;
};

/// Passes a call through to a plain service.
class PlainCaller final : public EndpointCaller {
 public:
  EndpointAnswer Call(const HttpClient& client, const AdmittedAttempt& admitted) const override;
};

/// Threads that run admitted attempts, one endpoint call each.
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
  /// Ends the answer; that of a claimed call ends when its claim row is stored.
  void FinishAnswer(const AdmittedAttempt& admitted, const EndpointAnswer& answer,
                    std::string end_message);
  /// Records the bill, or gives the reservation back when nothing ran.
  CostMicros RecordBilling(const AdmittedAttempt& admitted, const EndpointAnswer& answer);

  Parts parts_;
  Concurrency threads_;
  ChatCaller chat_;
  PlainCaller plain_;
  AdmissionDuty* admission_ = nullptr;
  ClaimDuty* claims_ = nullptr;
  BoundedRing<AdmittedAttempt> ring_;
  std::vector<std::thread> workers_;
};

}  // namespace bamboodock
