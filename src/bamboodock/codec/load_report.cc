#include "bamboodock/codec/load_report.h"

#include <nlohmann/json.hpp>

namespace bamboodock {

Result<LoadReport> DecodeLoadReport(const std::string& text) {
  using Json = nlohmann::json;
  try {
    const Json json = Json::parse(text);
    LoadReport report;
    report.running = Concurrency(json.value("running", 0U));
    report.queued = Concurrency(json.value("queued", 0U));
    report.warm = json.value("warm", true);
    report.age = std::chrono::milliseconds(json.value("age_ms", 0));
    return report;
  } catch (const Json::exception& error) {
    return Raise(ResultCode::kBadMessage, error.what());
  }
}

}  // namespace bamboodock
