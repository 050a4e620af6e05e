#include "bamboodock/standin/query/platform_queries.h"

#include "bamboodock/standin/inject_fault.h"
#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kWeightBytes = 4096;
constexpr std::uint64_t kDefaultLimit = 1000;

json Encode(const TableRow& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version.value()}};
}

json Encode(const HostRecord& host) {
  return {{"id", host.id.value()},
          {"address", host.address},
          {"availability_zone", host.availability_zone.value()},
          {"leaving", host.leaving}};
}

json Encode(const Rating& rating) {
  return {{"cursor", rating.cursor},       {"request", rating.request.value()},
          {"model", rating.model.value()}, {"version", rating.version.value()},
          {"kind", rating.kind},           {"score", rating.score.value()}};
}

template <class Items>
json EncodeAll(const std::string& name, const Items& items) {
  json list = json::array();
  for (const auto& item : items) list.push_back(Encode(item));
  return {{name, std::move(list)}};
}

void SendBytes(ResponseWriter& writer, std::string bytes) {
  HttpResponse response;
  response.headers = {{"Content-Type", "application/octet-stream"}};
  response.body = std::move(bytes);
  writer.Send(response);
}

}  // namespace

bool PlatformQueries::Handle(const HttpRequest& request, ResponseWriter& writer) const {
  using Method = void (PlatformQueries::*)(const HttpRequest&, ResponseWriter&) const;
  static constexpr std::array kRoutes{
      Route<Method>{"GET", "/table/row", &PlatformQueries::Row},
      Route<Method>{"GET", "/table/scan", &PlatformQueries::Scan},
      Route<Method>{"GET", "/objects/", &PlatformQueries::Object},
      Route<Method>{"GET", "/hosts", &PlatformQueries::Hosts},
      Route<Method>{"GET", "/ratings", &PlatformQueries::Ratings},
      Route<Method>{"GET", "/weights/", &PlatformQueries::Weights},
      Route<Method>{"GET", "/counters", &PlatformQueries::Counters},
  };
  return Dispatch(*this, kRoutes, request, writer);
}

bool PlatformQueries::InjectReadFault(const std::string& target, ResponseWriter& writer) const {
  return InjectFault(faults_.TakeForRead(target), faults_, writer);
}

void PlatformQueries::Row(const HttpRequest& request, ResponseWriter& writer) const {
  if (!InjectReadFault("table", writer)) return;
  const auto row = state_.Read(request.QueryParameter("key"));
  if (!row) return SendError(writer, 404, "no row with this key");
  SendJson(writer, 200, Encode(*row));
}

void PlatformQueries::Scan(const HttpRequest& request, ResponseWriter& writer) const {
  if (!InjectReadFault("table", writer)) return;
  const auto limit = NumberParameter(request, "limit", kDefaultLimit);
  SendJson(writer, 200, EncodeAll("rows", state_.Scan(request.QueryParameter("prefix"), limit)));
}

void PlatformQueries::Object(const HttpRequest& request, ResponseWriter& writer) const {
  if (!InjectReadFault("objects", writer)) return;
  auto object = state_.LoadObject(ObjectHash(LastPathSegment(request)));
  if (!object) return SendError(writer, 404, "no object with this hash");
  SendBytes(writer, std::move(*object));
}

void PlatformQueries::Hosts(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  if (!InjectReadFault("hosts", writer)) return;
  SendJson(writer, 200, EncodeAll("hosts", state_.Hosts()));
}

void PlatformQueries::Ratings(const HttpRequest& request, ResponseWriter& writer) const {
  if (!InjectReadFault("ratings", writer)) return;
  const auto after = NumberParameter(request, "after", 0);
  const auto limit = NumberParameter(request, "limit", kDefaultLimit);
  SendJson(writer, 200, EncodeAll("ratings", state_.RatingsAfter(after, limit)));
}

void PlatformQueries::Weights(const HttpRequest& request, ResponseWriter& writer) const {
  if (!InjectReadFault("weights", writer)) return;
  if (!weight_limiter_.TryAcquire()) return SendError(writer, 429, "weight read rate exceeded");
  const std::string name = LastPathSegment(request);
  if (name.empty()) return SendError(writer, 404, "expected a name after /weights/");
  std::string bytes;
  while (bytes.size() < kWeightBytes) bytes += name;
  bytes.resize(kWeightBytes);
  SendBytes(writer, std::move(bytes));
}

void PlatformQueries::Counters(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const PlatformCounters counters = state_.Counters();
  SendJson(writer, 200,
           {{"reads", counters.reads},
            {"writes", counters.writes},
            {"conflicts", counters.conflicts},
            {"object_writes", counters.object_writes},
            {"peak_writes_per_second", counters.peak_writes_per_second},
            {"rows", counters.rows}});
}

}  // namespace bamboodock::standin
