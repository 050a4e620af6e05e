#include "process/support/deployment.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <utility>

#include "bamboodock/codec/digest.h"
#include "bamboodock/codec/object_set_codec.h"

namespace bamboodock::process_test {
namespace {

constexpr const char* kApiKey = "process-test-key";
constexpr const char* kAccount = "office";
/// Port offsets from the base port: platform 0, entries from 10, sidecars from 40, stand-ins
/// from 60.
constexpr std::size_t kSidecarOffset = 40;
constexpr std::size_t kUpstreamOffset = 60;

HttpHeader Authorization() { return {"Authorization", std::string("Bearer ") + kApiKey}; }

}  // namespace

DeploymentPlan& DeploymentPlan::Entries(std::size_t count) {
  entries_ = count;
  return *this;
}

DeploymentPlan& DeploymentPlan::Engine(std::string name, std::string zone,
                                       std::vector<std::string> flags) {
  endpoints_.push_back({std::move(name), std::move(zone), EndpointKind::kEngine, std::move(flags)});
  return *this;
}

DeploymentPlan& DeploymentPlan::Service(std::string name, std::string zone,
                                        std::vector<std::string> flags) {
  endpoints_.push_back(
      {std::move(name), std::move(zone), EndpointKind::kService, std::move(flags)});
  return *this;
}

DeploymentPlan& DeploymentPlan::Limits(Concurrency cold, Concurrency warm) {
  endpoints_.back().cold_limit = cold;
  endpoints_.back().warm_limit = warm;
  return *this;
}

DeploymentPlan& DeploymentPlan::LargeShare(Ratio share) {
  large_share_ = share;
  return *this;
}

DeploymentPlan& DeploymentPlan::SmallQuality(Ratio quality) {
  small_quality_ = quality;
  return *this;
}

Deployment::Deployment(DeploymentPlan plan)
    : plan_(std::move(plan)), log_folder_(BinaryFolder() + "process-logs/" + plan_.name_ + "/") {
  std::filesystem::remove_all(log_folder_);
  std::filesystem::create_directories(log_folder_);
  objects_ = MakeObjects();
  Spawn("platform", "standin", {"--role=platform", "--listen=" + AddressText(0), "--threads=64"});
  AwaitHealth(platform_address(), "platform");
  for (const EndpointPlan& endpoint : plan_.endpoints_) StartEndpoint(endpoint);
  for (std::size_t i = 0; i < entries(); ++i) StartEntry(i);
  for (std::size_t i = 0; i < entries(); ++i) AwaitHealth(caller_address(i), "entry");
  const Reply reply = Publish(0, "p-1", *objects_);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 200, reply.status);
  for (std::size_t i = 0; i < entries(); ++i) CPPUNIT_ASSERT(AwaitReady(i));
}

Address Deployment::AddressAt(std::size_t offset) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(plan_.base_port_ + offset)};
}

std::size_t Deployment::EndpointIndex(const std::string& endpoint) const {
  const auto found =
      std::find_if(plan_.endpoints_.begin(), plan_.endpoints_.end(),
                   [&](const EndpointPlan& candidate) { return candidate.name == endpoint; });
  return static_cast<std::size_t>(found - plan_.endpoints_.begin());
}

Address Deployment::upstream_address(const std::string& endpoint) const {
  return AddressAt(kUpstreamOffset + EndpointIndex(endpoint));
}

Ref<const ObjectSet> Deployment::MakeObjects() const {
  const ModelId model(kModel);
  const VersionId small(kSmall);
  const VersionId large(kLarge);
  ObjectSetBuilder builder;
  ClientAccount account;
  account.id = ClientAccountId(kAccount);
  account.key_hashes = {Sha256Hex(kApiKey)};
  account.rate = RequestRate(1000);
  account.burst = Concurrency(1000);
  account.concurrency = Concurrency(500);
  bool engines = false;
  std::vector<std::string> zones;
  for (const EndpointPlan& plan : plan_.endpoints_) {
    Endpoint endpoint;
    endpoint.id = EndpointId(plan.name);
    endpoint.kind = plan.kind;
    endpoint.availability_zone = AvailabilityZoneId(plan.zone);
    endpoint.address = AddressText(kSidecarOffset + EndpointIndex(plan.name));
    endpoint.cold_limit = plan.cold_limit;
    endpoint.warm_limit = plan.warm_limit;
    if (plan.kind == EndpointKind::kEngine) {
      engines = true;
      endpoint.service = ServiceId("llm");
      endpoint.versions = {small, large};
    } else {
      endpoint.service = ServiceId(kService);
      if (account.services.empty()) account.services = {endpoint.service};
    }
    builder.Add(endpoint);
    if (std::find(zones.begin(), zones.end(), plan.zone) != zones.end()) continue;
    zones.push_back(plan.zone);
    builder.Add(AvailabilityZone{AvailabilityZoneId(plan.zone), "test"});
  }
  if (engines) {
    account.models = {{model, {}}};
    const Ratio small_share(1.0 - plan_.large_share_.value());
    builder.Add(Model{model, {{small, small_share}, {large, plan_.large_share_}}});
    builder.Add(Version{
        small, model, VersionStage::kActive, CostMicros(1000), CostMicros(2000), Ratio(0.8), {}});
    builder.Add(Version{
        large, model, VersionStage::kActive, CostMicros(9000), CostMicros(18000), Ratio(0.99), {}});
    Cascade cascade;
    cascade.id = CascadeId(kCascade);
    cascade.steps = {{model, small}, {model, large}};
    cascade.quality_target = Ratio(0.7);
    builder.Add(cascade);
  }
  return builder.Add(account).Build();
}

void Deployment::StartEndpoint(const EndpointPlan& endpoint) {
  std::vector<std::string> arguments{"--listen=" + upstream_address(endpoint.name).ToString(),
                                     "--threads=96"};
  if (endpoint.kind == EndpointKind::kEngine) {
    arguments.insert(arguments.end(),
                     {"--role=engine", "--batch=64", "--load_lag_ms=100",
                      "--versions=" + std::string(kSmall) + ":" +
                          std::to_string(plan_.small_quality_.value()) + "," + kLarge + ":1"});
  } else {
    arguments.emplace_back("--role=service");
  }
  // Later flags take precedence, so a test can override the flags above.
  arguments.insert(arguments.end(), endpoint.flags.begin(), endpoint.flags.end());
  Spawn(endpoint.name + "-upstream", "standin", arguments);
  AwaitHealth(upstream_address(endpoint.name), endpoint.name + "-upstream");
  StartSidecar(endpoint.name);
}

void Deployment::StartSidecar(const std::string& endpoint) {
  std::string entry_list;
  for (std::size_t i = 0; i < entries(); ++i) {
    entry_list += (i == 0 ? "" : ",") + AddressText(12 + (4 * i));
  }
  const Address address = AddressAt(kSidecarOffset + EndpointIndex(endpoint));
  Spawn(endpoint, "sidecar",
        {"--endpoint=" + endpoint, "--listen=" + address.ToString(),
         "--upstream=" + upstream_address(endpoint).ToString(), "--entries=" + entry_list,
         "--platform=" + AddressText(0), "--connections=160", "--runners=64"});
  AwaitHealth(address, endpoint);
}

void Deployment::StartEntry(std::size_t index) {
  std::string peers;
  for (std::size_t i = 0; i < entries(); ++i) {
    if (i == index) continue;
    peers += (peers.empty() ? "entry-" : ",entry-") + Ordinal(i) + "=" + AddressText(12 + (4 * i)) +
             "/" + operator_address(i).ToString();
  }
  Spawn(
      "entry-" + Ordinal(index), "entry",
      {"--host=entry-" + Ordinal(index), "--availability_zone=" + plan_.endpoints_.front().zone,
       "--callers=" + caller_address(index).ToString(),
       "--operators=" + operator_address(index).ToString(),
       "--rpc=" + AddressText(12 + (4 * index)), "--peers=" + peers, "--platform=" + AddressText(0),
       "--signing_key=process-test-signing-key", "--connections=128"});
}

void Deployment::Spawn(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments) {
  processes_.erase(name);
  processes_[name] = std::make_unique<ChildProcess>(BinaryFolder() + "bamboodock-" + program,
                                                    arguments, log_folder_ + name + ".log");
}

void Deployment::AwaitHealth(const Address& address, const std::string& name) const {
  CPPUNIT_ASSERT_MESSAGE(name + " did not answer /healthz",
                         WaitFor([&] { return Get(address, "/healthz").status != 0; }));
}

bool Deployment::AwaitReady(std::size_t entry) const {
  const bool ready = WaitFor([&] {
    if (Get(caller_address(entry), "/readyz").status != 200) return false;
    const nlohmann::json status = Status(entry);
    std::size_t up = 0;
    for (const nlohmann::json& endpoint : status["endpoints"]) {
      const bool serves = endpoint["state"] == "up" && endpoint["epoch"] == status["epoch"] &&
                          endpoint["limit"] != 0;
      if (serves) ++up;
    }
    return up == plan_.endpoints_.size();
  });
  if (ready) return true;
  // States of the processes, since logs do not show why a process that hangs or has ended is
  // silent.
  std::cerr << "entry " << entry << " is not ready, status " << Status(entry).dump() << "\n";
  for (const auto& [name, process] : processes_) {
    std::cerr << name << " threads:\n" << process->ThreadStates();
  }
  return false;
}

Reply Deployment::Chat(std::size_t entry, const std::string& model, const std::string& prompt,
                       Tokens length, std::vector<HttpHeader> headers) const {
  headers.push_back(Authorization());
  return Post(caller_address(entry), "/v1/chat/completions", ChatBody(model, prompt, length, false),
              std::move(headers));
}

HttpRequest Deployment::StreamRequest(const std::string& prompt, Tokens length) const {
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {Authorization(), {"Content-Type", "application/json"}};
  request.body = ChatBody(kModel, prompt, length, true).dump();
  return request;
}

HttpRequest Deployment::IssueRequest(const std::string& key) const {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string("/services/") + kService + "/labels";
  request.headers = {Authorization(), {"Idempotency-Key", key}};
  request.body = R"({"lot":"7"})";
  return request;
}

Reply Deployment::Issue(std::size_t entry, const std::string& key) const {
  return Send(caller_address(entry), IssueRequest(key));
}

Reply Deployment::Publish(std::size_t entry, const std::string& publication,
                          const ObjectSet& set) const {
  return Post(operator_address(entry), "/commands/publish",
              {{"publication", publication}, {"set", nlohmann::json::parse(EncodeObjectSet(set))}});
}

Reply Deployment::Drain(std::size_t entry, const std::string& publication,
                        const std::string& zone) const {
  return Post(operator_address(entry), "/commands/drain",
              {{"publication", publication}, {"availability_zone", zone}});
}

Reply Deployment::Withdraw(std::size_t entry, const std::string& publication,
                           const char* version) const {
  return Post(operator_address(entry), "/commands/withdraw",
              {{"publication", publication},
               {"model", kModel},
               {"version", version},
               {"stage", "withdrawn"}});
}

void Deployment::SetTableFault(const char* mode, std::uint64_t count,
                               std::chrono::milliseconds delay) {
  const Reply reply =
      Post(platform_address(), "/faults",
           {{"target", "table"}, {"mode", mode}, {"count", count}, {"delay_ms", delay.count()}});
  CPPUNIT_ASSERT_EQUAL(200, reply.status);
}

void Deployment::SetEndpointFault(const std::string& endpoint, const nlohmann::json& fault) {
  CPPUNIT_ASSERT_EQUAL(200, Post(upstream_address(endpoint), "/faults", fault).status);
}

std::uint64_t Deployment::Counter(const std::string& endpoint, const char* name) const {
  return Get(upstream_address(endpoint), "/counters").Json().at(name).get<std::uint64_t>();
}

std::uint64_t Deployment::Runs(const std::string& key) const {
  std::uint64_t runs = 0;
  for (const EndpointPlan& endpoint : plan_.endpoints_) {
    if (endpoint.kind != EndpointKind::kService) continue;
    const nlohmann::json counters = Get(upstream_address(endpoint.name), "/counters").Json();
    runs += counters.at("runs").value(key, std::uint64_t{0});
  }
  return runs;
}

std::uint64_t Deployment::Running(const std::string& endpoint) const {
  return Get(upstream_address(endpoint), "/load").Json().at("running").get<std::uint64_t>();
}

std::vector<nlohmann::json> Deployment::Rows(const std::string& prefix) const {
  const Reply reply =
      Get(platform_address(), "/table/scan", "limit=100000&prefix=" + EncodeUrlComponent(prefix));
  std::vector<nlohmann::json> rows;
  if (reply.status != 200) return rows;
  const nlohmann::json scan = reply.Json();
  for (const nlohmann::json& row : scan.at("rows")) {
    rows.push_back(nlohmann::json::parse(row.at("value").get<std::string>()));
  }
  return rows;
}

nlohmann::json Deployment::Status(std::size_t entry) const {
  return Get(operator_address(entry), "/queries/status").Json();
}

}  // namespace bamboodock::process_test
