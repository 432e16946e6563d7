#ifndef CORNELWEIR_PLUGINS_PROXY_REQUEST_HEADERS_H_
#define CORNELWEIR_PLUGINS_PROXY_REQUEST_HEADERS_H_

#include <string>
#include <string_view>

#include "cornelweir/admission.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/outcome.h"

namespace cornelweir::plugins::proxy {

// Headers that daemons, callers and upstreams exchange. docs/API.md describes them.
inline constexpr std::string_view kHopHeader = "x-cornelweir-hop";
inline constexpr std::string_view kOutcomeHeader = "x-cornelweir-outcome";
inline constexpr std::string_view kReasonHeader = "x-cornelweir-reason";
inline constexpr std::string_view kTimeoutHeader = "x-cornelweir-timeout-ms";
inline constexpr std::string_view kRetryHeader = "x-cornelweir-retry";
inline constexpr std::string_view kReplayedHeader = "x-cornelweir-replayed";
inline constexpr std::string_view kTenantHeader = "x-tenant";
inline constexpr std::string_view kPriorityHeader = "x-priority";
inline constexpr std::string_view kKeyHeader = "idempotency-key";

void SetHeader(http::header_list& headers, std::string_view name, std::string_view value);

// The caller's tenant; requests without one share the tenant "default". Longer names are cut, so
// that a caller can't make the tables of tenants grow by long names.
kernel::tenant_id TenantOf(const http::request_head& head);

admission::priority_class PriorityOf(const http::request_head& head);

// The deadline that a caller asks for, at most the one that the table allows.
outcome::deadline DeadlineOf(const http::request_head& head, kernel::milliseconds allowed,
                             kernel::time_point now);

// A digest of the request's method and target.
kernel::fingerprint ContentOf(const http::request_head& head);

// A digest by which a resend of a request is recognized: of its tenant and key, or of its content.
kernel::fingerprint FingerprintOf(const http::request_head& head);

// The key under which a request is claimed. Callers choose their keys without knowing of each
// other, so one is valid for its tenant and route only.
kernel::idempotency_key ClaimKeyOf(const http::request_head& head, const kernel::route_name& route);

// Answers a request that did not run.
void RefuseNotRun(http::exchange& request, outcome::refusal_reason reason);

// Answers a request of which nobody knows whether it ran.
void AnswerUnknown(http::exchange& request, int status, std::string_view reason);

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_REQUEST_HEADERS_H_
