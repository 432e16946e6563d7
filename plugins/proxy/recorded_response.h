#ifndef CORNELWEIR_PLUGINS_PROXY_RECORDED_RESPONSE_H_
#define CORNELWEIR_PLUGINS_PROXY_RECORDED_RESPONSE_H_

#include <optional>

#include "cornelweir/claims.h"
#include "cornelweir/http.h"

namespace cornelweir::plugins::proxy {

// The response to a request that has run before, from the record of its first response. Empty if
// the recorded status is none of a final response: earlier versions recorded whatever an upstream
// sent, such as 000.
std::optional<http::local_response> ReplayOf(const claims::stored_response& recorded);

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_RECORDED_RESPONSE_H_
