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
inline constexpr std::string_view kWorkspaceHeader = "x-tenant";
inline constexpr std::string_view kPriorityHeader = "x-priority";
inline constexpr std::string_view kIdempotencyKeyHeader = "idempotency-key";

// Adds the header, or replaces its value.
void SetHeader(http::header_list& headers, std::string_view name, std::string_view value);

// The caller's workspace, or "default" if the request names none. Names over 64 bytes are
// truncated, which bounds the memory that a caller can occupy in the per-workspace tables.
kernel::workspace_id ParseWorkspace(const http::request_head& head);

// The priority that the caller asks for; normal if it is absent or unknown.
admission::priority_class ParsePriority(const http::request_head& head);

// The deadline from the timeout that the caller asks for, at most max_timeout from now. An absent
// or invalid timeout gives max_timeout.
outcome::deadline ParseDeadline(const http::request_head& head, kernel::milliseconds max_timeout,
                                kernel::time_point now);

// A digest of the request's method and target.
kernel::fingerprint ContentDigest(const http::request_head& head);

// A digest that is the same for a request and its resends: of the workspace and the idempotency key
// if there is a key, of the method and target otherwise.
kernel::fingerprint RequestFingerprint(const http::request_head& head);

// The key under which a request is claimed. Callers choose idempotency keys independently of each
// other, so the claim key also contains the workspace and the route.
kernel::idempotency_key ClaimKey(const http::request_head& head, const kernel::route_name& route);

// Responds that the request did not run, with the status and headers for the reason.
void RespondNotRun(http::exchange& request, outcome::refusal_reason reason);

// Responds that it is unknown whether the request ran.
void RespondUnknown(http::exchange& request, http::status_code status, std::string_view reason);

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_REQUEST_HEADERS_H_
