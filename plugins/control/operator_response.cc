#include "plugins/control/operator_response.h"

#include <string>

namespace cornelweir::plugins::control::internal {

using codec::json;

namespace {

// Another control host may take the request at once; this one after an election or a retry of its
// storage.
constexpr std::string_view kRetryAfterSeconds = "1";

}  // namespace

http::admin_response Response(int status, const json& body) {
  http::admin_response response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

http::admin_response Unavailable(std::string_view reason) {
  http::admin_response response =
      Response(503, json{{"result", "unavailable"}, {"reason", std::string(reason)}});
  response.headers.set("Retry-After", kRetryAfterSeconds);
  return response;
}

http::admin_response Malformed(std::string_view reason) {
  return Response(400, json{{"result", "malformed"}, {"reason", std::string(reason)}});
}

http::admin_response NotFound(std::string_view reason) {
  return Response(404, json{{"result", "absent"}, {"reason", std::string(reason)}});
}

}  // namespace cornelweir::plugins::control::internal
