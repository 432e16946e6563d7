#include "plugins/sidecar/response_room.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cornelweir::plugins::sidecar {
namespace internal {

// Largest part of the account that one reservation takes, in percent. While a response arrives with
// a hold of its own, both are taken; the largest response has to fit beside its reservation in the
// account of the smallest setting of memory_mb.
constexpr std::int64_t kMaxReservationPercent = 15;

}  // namespace internal

response_room::response_room(std::shared_ptr<memory::memory_account> account,
                             memory::memory_use use)
    : account_(std::move(account)), use_(use) {}

std::shared_ptr<memory::memory_hold> response_room::Reserve(const kernel::route_name& route) {
  const kernel::byte_count most(account_->limit().value() * internal::kMaxReservationPercent / 100);
  auto reserved = std::make_shared<memory::memory_hold>(account_, use_);
  if (!reserved->Resize(std::min(sizes_.Expected(route), most))) return nullptr;
  return reserved;
}

bool response_room::Admit(const kernel::route_name& route,
                          std::shared_ptr<memory::memory_hold> reservation,
                          http::whole_response& response) {
  sizes_.OnResponse(route, response.body.size());
  if (response.hold) {
    response.hold->MoveTo(use_);
    return true;
  }
  if (response.body.empty()) return true;
  if (!reservation) {
    reservation = std::make_shared<memory::memory_hold>(account_, use_);
  }
  if (!reservation->Resize(kernel::byte_count(static_cast<std::int64_t>(response.body.size())))) {
    return false;
  }
  response.hold = std::move(reservation);
  return true;
}

}  // namespace cornelweir::plugins::sidecar
