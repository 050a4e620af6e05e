#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bamboodock/objects/object_set.h"
#include "process/support/child_process.h"
#include "process/support/http.h"

namespace bamboodock::process_test {

inline constexpr const char* kModel = "text";
inline constexpr const char* kSmall = "text-small";
inline constexpr const char* kLarge = "text-large";
inline constexpr const char* kCascade = "text-auto";
inline constexpr const char* kService = "labels";

/// Endpoint of a deployment and the flags of its stand-in.
struct EndpointPlan {
  std::string name;
  std::string zone;
  EndpointKind kind = EndpointKind::kEngine;
  /// Flags of the stand-in beyond role, address and versions.
  std::vector<std::string> flags;
  Concurrency cold_limit{16};
  Concurrency warm_limit{64};
};

/// Builder of the configuration that a test deploys.
class DeploymentPlan {
 public:
  /// @param name Name of the test; also names its log folder.
  /// @param base_port First of the 100 ports that the test uses.
  DeploymentPlan(std::string name, std::uint16_t base_port)
      : name_(std::move(name)), base_port_(base_port) {}

  DeploymentPlan& Entries(std::size_t count);
  DeploymentPlan& Engine(std::string name, std::string zone, std::vector<std::string> flags = {});
  DeploymentPlan& Service(std::string name, std::string zone, std::vector<std::string> flags = {});
  /// Sets the concurrency limits of the endpoint added last.
  DeploymentPlan& Limits(Concurrency cold, Concurrency warm);
  /// Sets the share of new sessions that go to the large version; default 0.
  DeploymentPlan& LargeShare(Ratio share);
  /// Sets the quality of the small version at all engines; default 1.
  DeploymentPlan& SmallQuality(Ratio quality);

 private:
  friend class Deployment;

  std::string name_;
  std::uint16_t base_port_;
  std::size_t entries_ = 2;
  std::vector<EndpointPlan> endpoints_;
  Ratio large_share_{0.0};
  Ratio small_quality_{1.0};
};

/// Running deployment: platform, endpoints with their sidecars, and entries, all as processes of
/// this build on 127.0.0.1.
class Deployment {
 public:
  /// Starts all processes, publishes the object set as "p-1" and waits until all entries serve it.
  explicit Deployment(DeploymentPlan plan);

  /// Address at which an entry serves callers.
  Address caller_address(std::size_t entry) const { return AddressAt(10 + (4 * entry)); }
  /// Address at which an entry serves operators.
  Address operator_address(std::size_t entry) const { return AddressAt(11 + (4 * entry)); }
  Address platform_address() const { return AddressAt(0); }
  /// Address of the stand-in behind an endpoint.
  Address upstream_address(const std::string& endpoint) const;
  std::size_t entries() const { return plan_.entries_; }

  ChildProcess& entry(std::size_t index) { return *processes_.at("entry-" + Ordinal(index)); }
  ChildProcess& sidecar(const std::string& endpoint) { return *processes_.at(endpoint); }
  /// Starts a process with the flags from the plan; one that runs under the same name is killed.
  void StartEntry(std::size_t index);
  void StartSidecar(const std::string& endpoint);
  /// Waits until an entry is ready and sees every endpoint up, at the entry's own epoch and with a
  /// limit above 0; false on a timeout.
  bool AwaitReady(std::size_t entry) const;

  Reply Chat(std::size_t entry, const std::string& model, const std::string& prompt,
             Tokens length = Tokens(4), std::vector<HttpHeader> headers = {}) const;
  HttpRequest StreamRequest(const std::string& prompt, Tokens length) const;
  HttpRequest IssueRequest(const std::string& key) const;
  Reply Issue(std::size_t entry, const std::string& key) const;

  Reply Publish(std::size_t entry, const std::string& publication, const ObjectSet& set) const;
  Reply Drain(std::size_t entry, const std::string& publication, const std::string& zone) const;
  Reply Withdraw(std::size_t entry, const std::string& publication, const char* version) const;
  const ObjectSet& objects() const { return *objects_; }

  /// Sets a fault for requests to the platform's tables; with a `count` of 0 it lasts until
  /// replaced.
  void SetTableFault(const char* mode, std::uint64_t count = 0,
                     std::chrono::milliseconds delay = {});
  void SetEndpointFault(const std::string& endpoint, const nlohmann::json& fault);

  /// Value of a counter of the stand-in behind an endpoint.
  std::uint64_t Counter(const std::string& endpoint, const char* name) const;
  /// Number of runs of calls with an idempotency key, over all services.
  std::uint64_t Runs(const std::string& key) const;
  /// Number of requests that the stand-in behind an endpoint is running.
  std::uint64_t Running(const std::string& endpoint) const;
  /// Decoded values of the table rows whose keys start with `prefix`; empty when the scan fails.
  std::vector<nlohmann::json> Rows(const std::string& prefix) const;
  nlohmann::json Status(std::size_t entry) const;

 private:
  static std::string Ordinal(std::size_t index) { return std::to_string(index + 1); }
  Address AddressAt(std::size_t offset) const;
  std::string AddressText(std::size_t offset) const { return AddressAt(offset).ToString(); }
  std::size_t EndpointIndex(const std::string& endpoint) const;
  Ref<const ObjectSet> MakeObjects() const;
  void StartEndpoint(const EndpointPlan& endpoint);
  void Spawn(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments);
  void AwaitHealth(const Address& address, const std::string& name) const;

  DeploymentPlan plan_;
  std::string log_folder_;
  Ref<const ObjectSet> objects_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace bamboodock::process_test
