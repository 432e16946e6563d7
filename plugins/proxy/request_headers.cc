#include "plugins/proxy/request_headers.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace cornelweir::plugins::proxy {
namespace internal {

constexpr std::size_t kMaxWorkspaceBytes = 64;

http::status_code HttpStatus(outcome::refusal_reason reason) {
  switch (reason) {
    case outcome::refusal_reason::kNoRoute:
      return 404;
    case outcome::refusal_reason::kKeyMissing:
      return 400;
    case outcome::refusal_reason::kKeyMismatch:
      return 422;
    case outcome::refusal_reason::kWorkspaceLimit:
      return 429;
    case outcome::refusal_reason::kDeadlinePassed:
      return 504;
    default:
      return 503;
  }
}

std::string OutcomeBody(outcome::request_outcome request_outcome, std::string_view reason) {
  return "{\"outcome\":\"" + std::string(outcome::OutcomeName(request_outcome)) +
         "\",\"reason\":\"" + std::string(reason) + "\"}\n";
}

http::header_list OutcomeHeaders(outcome::request_outcome request_outcome,
                                 std::string_view reason) {
  http::header_list headers;
  SetHeader(headers, "content-type", "application/json");
  SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(request_outcome));
  SetHeader(headers, kReasonHeader, reason);
  return headers;
}

}  // namespace internal

void SetHeader(http::header_list& headers, std::string_view name, std::string_view value) {
  headers.set(boost::beast::string_view(name.data(), name.size()),
              boost::beast::string_view(value.data(), value.size()));
}

kernel::workspace_id ParseWorkspace(const http::request_head& head) {
  const std::string_view name = head.Header(kWorkspaceHeader);
  if (name.empty()) return kernel::workspace_id("default");
  return kernel::workspace_id(std::string(name.substr(0, internal::kMaxWorkspaceBytes)));
}

admission::priority_class ParsePriority(const http::request_head& head) {
  const std::string_view name = head.Header(kPriorityHeader);
  if (name == "high") return admission::priority_class::kHigh;
  if (name == "low") return admission::priority_class::kLow;
  return admission::priority_class::kNormal;
}

outcome::deadline ParseDeadline(const http::request_head& head, kernel::milliseconds max_timeout,
                                kernel::time_point now) {
  const std::string_view text = head.Header(kTimeoutHeader);
  std::int64_t requested_ms = 0;
  const auto [parsed_end, error] =
      std::from_chars(text.data(), text.data() + text.size(), requested_ms);
  const bool valid =
      !text.empty() && error == std::errc() && parsed_end == text.data() + text.size();
  if (valid && requested_ms >= 0) {
    max_timeout = std::min(max_timeout, kernel::milliseconds(requested_ms));
  }
  return outcome::deadline::After(max_timeout, now);
}

kernel::fingerprint ContentDigest(const http::request_head& head) {
  const auto method = static_cast<std::uint64_t>(head.method);
  return kernel::fingerprint(XXH64(head.target.data(), head.target.size(), method + 1));
}

kernel::fingerprint RequestFingerprint(const http::request_head& head) {
  const std::string_view key = head.Header(kIdempotencyKeyHeader);
  if (key.empty()) return ContentDigest(head);
  const kernel::workspace_id workspace = ParseWorkspace(head);
  const std::uint64_t seed = XXH64(workspace.value().data(), workspace.value().size(), 0);
  return kernel::fingerprint(XXH64(key.data(), key.size(), seed));
}

kernel::idempotency_key ClaimKey(const http::request_head& head, const kernel::route_name& route) {
  return kernel::idempotency_key(ParseWorkspace(head).value() + "/" + route.value() + "/" +
                                 std::string(head.Header(kIdempotencyKeyHeader)));
}

void RespondNotRun(http::exchange& request, outcome::refusal_reason reason) {
  const std::string_view text = outcome::RefusalText(reason);
  constexpr auto kNotRun = outcome::request_outcome::kNotRun;
  request.Refuse(internal::HttpStatus(reason), internal::OutcomeBody(kNotRun, text),
                 internal::OutcomeHeaders(kNotRun, text));
}

void RespondUnknown(http::exchange& request, http::status_code status, std::string_view reason) {
  constexpr auto kUnknown = outcome::request_outcome::kUnknown;
  request.Refuse(status, internal::OutcomeBody(kUnknown, reason),
                 internal::OutcomeHeaders(kUnknown, reason));
}

}  // namespace cornelweir::plugins::proxy
