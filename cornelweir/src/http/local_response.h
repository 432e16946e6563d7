#ifndef CORNELWEIR_SRC_HTTP_LOCAL_RESPONSE_H_
#define CORNELWEIR_SRC_HTTP_LOCAL_RESPONSE_H_

#include <string>

#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/status_code.h"

namespace cornelweir::http {

// A complete response that this process generates or has stored, not one that is forwarded.
struct local_response {
  status_code status = 200;
  header_list headers;
  std::string body;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_LOCAL_RESPONSE_H_
