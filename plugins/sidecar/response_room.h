#ifndef CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_ROOM_H_
#define CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_ROOM_H_

#include <memory>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/memory.h"
#include "plugins/sidecar/response_sizes.h"

namespace cornelweir::plugins::sidecar {

// Keeps memory for the responses of the requests that are sent on for callers, or started at the
// upstream.
class response_room {
 public:
  response_room(std::shared_ptr<memory::memory_account> account, memory::memory_use use);

  kernel::byte_count Expected(const kernel::route_name& route) const {
    return sizes_.Expected(route);
  }
  // Takes room for a response of the route. Returns null if there is none.
  std::shared_ptr<memory::memory_hold> Reserve(const kernel::route_name& route);
  // Gives a response that has arrived its hold: its own, or else the reservation of its request,
  // which may be null. Returns false if the response does not fit.
  bool Admit(const kernel::route_name& route, std::shared_ptr<memory::memory_hold> reservation,
             http::whole_response& response);

 private:
  std::shared_ptr<memory::memory_account> account_;
  memory::memory_use use_;
  response_sizes sizes_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_ROOM_H_
