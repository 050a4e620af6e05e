#include "bamboodock/standin/query/service_queries.h"

#include "bamboodock/standin/service_call.h"

namespace bamboodock::standin {
namespace {

using nlohmann::json;

constexpr Tokens kTextLength{8};

}  // namespace

ServiceQueries& ServiceQueries::CallTime(Duration time) {
  call_time_ = time;
  return *this;
}

ServiceQueries& ServiceQueries::TextSeed(Seed seed) {
  seed_ = seed;
  return *this;
}

bool ServiceQueries::Handle(const HttpRequest& request, ResponseWriter& writer) const {
  using Method = void (ServiceQueries::*)(const HttpRequest&, ResponseWriter&) const;
  static constexpr std::array kRoutes{
      Route<Method>{"GET", "/lots/", &ServiceQueries::LookUp},
      Route<Method>{"GET", "/cases/", &ServiceQueries::LookUp},
      Route<Method>{"GET", "/load", &ServiceQueries::Load},
      Route<Method>{"GET", "/counters", &ServiceQueries::Counters},
  };
  return Dispatch(*this, kRoutes, request, writer);
}

void ServiceQueries::LookUp(const HttpRequest& request, ResponseWriter& writer) const {
  const Fault fault = faults_.TakeForRead();
  ServeCall(fault, call_time_, limiter_, faults_, writer, [&]() -> json {
    const Answer answer = MakeAnswer({request.path, {}, Ratio(1.0), kTextLength}, seed_);
    std::string text;
    for (const AnswerToken& token : answer.tokens) text += token.text;
    return {{"id", LastPathSegment(request)}, {"text", text}};
  });
}

void ServiceQueries::Load(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const ServiceLoad load = limiter_.load();
  SendJson(writer, 200,
           {{"running", load.running.value()}, {"queued", 0}, {"warm", load.warm}, {"age_ms", 0}});
}

void ServiceQueries::Counters(const HttpRequest& /*request*/, ResponseWriter& writer) const {
  const ServiceLoad load = limiter_.load();
  json runs = json::object();
  std::uint64_t total = 0;
  for (const auto& [key, count] : state_.Runs()) {
    runs[key.value()] = count.value();
    total += count.value();
  }
  SendJson(writer, 200,
           {{"runs", std::move(runs)},
            {"total_runs", total},
            {"max_running", load.max_running.value()},
            {"max_running_cold", load.max_running_cold.value()}});
}

}  // namespace bamboodock::standin
