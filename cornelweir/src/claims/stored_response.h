#ifndef CORNELWEIR_SRC_CLAIMS_STORED_RESPONSE_H_
#define CORNELWEIR_SRC_CLAIMS_STORED_RESPONSE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::claims {

// The HTTP status code of a response.
using response_status = kernel::strong_id<struct response_status_tag, std::int32_t>;

// The response of a completed request, which is replayed when the request is sent again.
struct stored_response {
  response_status status;
  std::string content_type;
  kernel::byte_string body;
  // Whether the body was too large to be stored.
  bool body_omitted = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"status", &stored_response::status},
                      kernel::field{"content_type", &stored_response::content_type},
                      kernel::field{"body", &stored_response::body},
                      kernel::field{"body_omitted", &stored_response::body_omitted}};
  }
  friend bool operator==(const stored_response&, const stored_response&) = default;
};

}  // namespace cornelweir::claims

#endif  // CORNELWEIR_SRC_CLAIMS_STORED_RESPONSE_H_
