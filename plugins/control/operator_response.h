#ifndef CORNELWEIR_PLUGINS_CONTROL_OPERATOR_RESPONSE_H_
#define CORNELWEIR_PLUGINS_CONTROL_OPERATOR_RESPONSE_H_

#include <string_view>

#include "cornelweir/codec.h"
#include "cornelweir/http.h"

namespace cornelweir::plugins::control::internal {

inline constexpr std::string_view kNotStored =
    "not stored: the storage of this host takes no writes; send it to another control host";

// Responses of the operators' interface, as docs/API.md describes them.
http::admin_response Response(int status, const codec::json& body);
// 503 with Retry-After: nothing was stored, or nothing could be proved.
http::admin_response Unavailable(std::string_view reason);
http::admin_response Malformed(std::string_view reason);
http::admin_response NotFound(std::string_view reason);

}  // namespace cornelweir::plugins::control::internal

#endif  // CORNELWEIR_PLUGINS_CONTROL_OPERATOR_RESPONSE_H_
