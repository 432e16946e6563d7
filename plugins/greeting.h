#ifndef CORNELWEIR_PLUGINS_GREETING_H_
#define CORNELWEIR_PLUGINS_GREETING_H_

#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins {

// Returns the first message that this process sends on a link.
protocol::hello Greeting(protocol::process_role role, const kernel::host_id& host);

// Decodes the first message of a link. Logs the refusal and returns nothing if the message is no
// greeting, has another protocol version, or claims a role that the peer's certificate does not
// allow. Without TLS no certificate is checked; settings allow that on loopback only.
std::optional<protocol::hello> ReadGreeting(const transport::link& link, std::string_view payload,
                                            bool tls);

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_GREETING_H_
