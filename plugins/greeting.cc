#include "plugins/greeting.h"

#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"

namespace cornelweir::plugins {
namespace internal {

// Values of the organizational unit of a certificate, which limits the roles of its owner.
constexpr std::string_view kControlRole = "control";
constexpr std::string_view kProxyRole = "proxy";

bool MayTakeRole(const std::string& certificate_role, protocol::process_role claimed) {
  if (certificate_role == kControlRole) return true;
  return claimed == protocol::process_role::kProxy && certificate_role == kProxyRole;
}

// Returns why a greeting is refused, or an empty text. A greeting that can't be decoded is null.
std::string_view RefusalOf(const protocol::hello* greeting, const transport::link& link, bool tls) {
  if (greeting == nullptr) return "malformed greeting";
  if (greeting->protocol != protocol::kProtocolVersion) return "another protocol version";
  if (tls && !MayTakeRole(link.peer_role(), greeting->role)) {
    return "the certificate does not allow the role";
  }
  return {};
}

}  // namespace internal

protocol::hello Greeting(protocol::process_role role, const kernel::host_id& host) {
  return protocol::hello{protocol::kProtocolVersion, role, host};
}

std::optional<protocol::hello> ReadGreeting(const transport::link& link, std::string_view payload,
                                            bool tls) {
  // Every message variant has hello as an alternative, so any of them can decode it.
  const auto message = codec::Decode<protocol::daemon_message>(payload);
  const auto* greeting = message ? std::get_if<protocol::hello>(&message.value()) : nullptr;
  const std::string_view refusal = internal::RefusalOf(greeting, link, tls);
  if (refusal.empty()) return *greeting;
  logging::event(logging::event_id::kMessageRefused)
      .With("reason", refusal)
      .With("certificate_role", link.peer_role());
  return std::nullopt;
}

}  // namespace cornelweir::plugins
