#ifndef CORNELWEIR_PLUGINS_SIDECAR_REQUEST_DIALECT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_REQUEST_DIALECT_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "plugins/sidecar/call.h"
#include "plugins/sidecar/upstream_notice.h"

namespace cornelweir::plugins::sidecar {

// Classification of an upstream's response.
enum class upstream_response_kind : std::uint8_t {
  // The response to the request.
  kResponse,
  // The upstream did not run the request.
  kNotRun,
  // Another upstream now has the address. It did not run the request.
  kOtherUpstream,
  // A late response to an earlier request.
  kStale,
  // Not a valid response of an upstream.
  kUnusable,
};

// Result of an upstream's announcement.
enum class announcement_result : std::uint8_t { kAccepted, kOutdated, kRefused };

using announce_handler =
    std::function<announcement_result(const membership::upstream_announcement&)>;
using withdraw_handler = std::function<void(const kernel::upstream_id&)>;

// Encoding of the messages to and from callers and upstreams. Contains no routing decisions.
template <class T>
concept request_dialect = requires(http::whole_request request,
                                   const http::whole_response& response,
                                   const protocol::run_request& run, http::admin_server& server,
                                   std::string_view text, const call& decoded) {
  { T::kName } -> std::convertible_to<std::string_view>;
  { T::kReadinessPath } -> std::convertible_to<std::string_view>;
  // Returns the call, or the response that rejects it.
  { T::DecodeCall(std::move(request)) } -> std::same_as<std::variant<call, http::whole_response>>;
  // Returns the response to a request that could not be read.
  { T::RejectUnreadable(400, text) } -> std::same_as<http::whole_response>;
  // A retry_after of zero is omitted from the response.
  {
    T::Reply(decoded, reply_kind::kNotRun, kernel::milliseconds(), text)
    } -> std::same_as<http::whole_response>;
  {
    T::EncodeRun(run, std::string(), kernel::upstream_id(), kernel::milliseconds())
    } -> std::same_as<http::whole_request>;
  { T::ClassifyResponse(run, response) } -> std::same_as<upstream_response_kind>;
  // Whether the response belongs to a request, and not to a probe of the upstream's health.
  { T::HasRequestId(response) } -> std::same_as<bool>;
  // Returns what the response says of the upstream itself.
  { T::ReadNotice(response) } -> std::same_as<upstream_notice>;
  // Returns the upstream's id from a healthy response, or else an empty id.
  { T::HealthyUpstream(response) } -> std::same_as<kernel::upstream_id>;
  T::ServeAnnouncements(server, announce_handler(), withdraw_handler());
};

// Function table of a dialect, so that code that uses it is not a template.
struct dialect_functions {
  std::variant<call, http::whole_response> (*decode_call)(http::whole_request);
  http::whole_response (*reject_unreadable)(http::status_code status, std::string_view reason);
  http::whole_response (*reply)(const call&, reply_kind, kernel::milliseconds retry_after,
                                std::string_view reason);
  http::whole_request (*encode_run)(const protocol::run_request&, std::string body,
                                    const kernel::upstream_id&, kernel::milliseconds time_left);
  upstream_response_kind (*classify_response)(const protocol::run_request&,
                                              const http::whole_response&);
  bool (*has_request_id)(const http::whole_response&);
  upstream_notice (*read_notice)(const http::whole_response&);
  kernel::upstream_id (*healthy_upstream)(const http::whole_response&);
  void (*serve_announcements)(http::admin_server&, announce_handler, withdraw_handler);
  std::string_view readiness_path;
};

template <request_dialect T>
dialect_functions FunctionsOf() {
  return {&T::DecodeCall,         &T::RejectUnreadable, &T::Reply,      &T::EncodeRun,
          &T::ClassifyResponse,   &T::HasRequestId,     &T::ReadNotice, &T::HealthyUpstream,
          &T::ServeAnnouncements, T::kReadinessPath};
}

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_REQUEST_DIALECT_H_
