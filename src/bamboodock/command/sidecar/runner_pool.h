#pragma once

#include <functional>
#include <thread>
#include <vector>

#include "bamboodock/command/sidecar/admission_duty.h"
#include "bamboodock/command/sidecar/claim_duty.h"
#include "bamboodock/command/sidecar/work.h"
#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// What a call of the endpoint produced.
struct EndpointAnswer {
  bool ok = false;
  bool cancelled = false;
  /// The request may have reached the endpoint.
  bool sent = false;
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
  virtual EndpointAnswer Call(const HttpClient& client, const Work& work) const = 0;
};

/// Streams a chat from a model engine.
class ChatCaller final : public EndpointCaller {
 public:
  EndpointAnswer Call(const HttpClient& client, const Work& work) const override;
};

/// Passes a call through to a plain service.
class PlainCaller final : public EndpointCaller {
 public:
  EndpointAnswer Call(const HttpClient& client, const Work& work) const override;
};

/// Threads that run admitted attempts, one endpoint call each.
class RunnerPool final : public WorkQueue {
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

  bool Accept(Work work) override { return ring_.TryPush(std::move(work)); }

 private:
  void Run();
  void Execute(Work& work);
  void Finish(const Work& work, const EndpointAnswer& answer);
  /// Ends the answer; that of a claimed call ends when its claim row is stored.
  void FinishAnswer(const Work& work, const EndpointAnswer& answer, std::string end);
  /// Records the bill, or gives the reservation back when nothing ran.
  CostMicros Bill(const Work& work, const EndpointAnswer& answer);

  Parts parts_;
  Concurrency threads_;
  ChatCaller chat_;
  PlainCaller plain_;
  AdmissionDuty* admission_ = nullptr;
  ClaimDuty* claims_ = nullptr;
  BoundedRing<Work> ring_;
  std::vector<std::thread> workers_;
};

}  // namespace bamboodock
