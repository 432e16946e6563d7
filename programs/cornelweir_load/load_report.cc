#include "programs/cornelweir_load/load_report.h"

#include <algorithm>
#include <chrono>
#include <fstream>

namespace cornelweir::load {
namespace {

std::string_view RunStateName(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not-run";
    case run_state::kRan:
      return "ran";
    case run_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// The answer to a resent request may be the stored one of an earlier attempt.
bool IsIdOf(const pending_request& request, std::string_view id) {
  for (int attempt = 0; attempt <= request.attempt; ++attempt) {
    if (id == IdOf(request, attempt)) return true;
  }
  return false;
}

}  // namespace

void load_report::OnAnswer(pending_request& request, const http::client_response& response,
                           kernel::microseconds latency) {
  ++answered_;
  latencies_.Add(latency);
  ++statuses_[std::to_string(response.status.value())];
  std::string outcome(http::HeaderValue(response.headers, "x-cornelweir-outcome"));
  if (outcome.empty()) outcome = "none";
  ++outcomes_[outcome];
  const bool from_upstream =
      outcome == "ran" || (outcome == "none" && response.status.is_success());
  if (from_upstream) {
    request.state = run_state::kRan;
  } else if (outcome != "not-run") {
    request.state = run_state::kUnknown;
  }
  const std::string_view id = http::HeaderValue(response.headers, "x-request-id");
  if (!id.empty() || from_upstream) CheckEcho(request, id, response.body);
}

void load_report::CheckEcho(const pending_request& request, std::string_view id,
                            const std::string& body) {
  if (!IsIdOf(request, id)) {
    ++mixed_;
    return;
  }
  const auto echo = nlohmann::json::parse(body, nullptr, false);
  if (!echo.is_object()) {
    ++cut_;
  } else if (echo.value("request_id", "") != id || echo.value("path", "") != request.path) {
    ++mixed_;
  }
}

void load_report::OnLost(pending_request& request, const http::http_error& error) {
  ++lost_;
  ++errors_[std::string(http::FaultName(error.fault))];
  if (error.sent) request.state = run_state::kUnknown;
}

void load_report::OnEnd(const pending_request& request) {
  if (request.post) keys_[request.number] = request.state;
}

nlohmann::json load_report::ToJson(const options& settings, kernel::microseconds duration) const {
  const double seconds =
      std::chrono::duration<double>(std::max(duration, kernel::microseconds(1))).count();
  return {{"seed", settings.seed},
          {"sent", sent_},
          {"answered", answered_},
          {"lost", lost_},
          {"resent", resent_},
          {"skipped", skipped_},
          {"mixed", mixed_},
          {"cut", cut_},
          {"seconds", seconds},
          {"answered_per_second", static_cast<double>(answered_) / seconds},
          {"status", statuses_},
          {"outcome", outcomes_},
          {"error", errors_},
          {"latency_ms",
           {{"p50", latencies_.Percentile(50)},
            {"p90", latencies_.Percentile(90)},
            {"p99", latencies_.Percentile(99)},
            {"p99.9", latencies_.Percentile(99.9)},
            {"max", latencies_.Percentile(100)}}}};
}

bool load_report::WriteKeys(const options& settings) const {
  std::ofstream file(settings.report_key_file);
  for (const auto& [number, state] : keys_) {
    file << KeyOf(settings.key_prefix, number) << ' ' << RunStateName(state) << '\n';
  }
  return file.flush().good();
}

}  // namespace cornelweir::load
