#include "cornelweir/src/admission/outbound_responses.h"

namespace cornelweir::admission {

void outbound_responses::Add(const outbound_response& response) {
  responses_[response.id].response = response;
  order_.push_back(response.id);
  unsent_bytes_ += response.bytes;
}

std::vector<transfer_id> outbound_responses::Plan(double /*bytes_per_second*/,
                                                  kernel::time_point now) {
  std::vector<transfer_id> given_up;
  for (const auto& [id, waiting] : responses_) {
    if (waiting.response.deadline <= now) given_up.push_back(id);
  }
  for (const transfer_id id : given_up) Remove(id);
  return given_up;
}

void outbound_responses::OnSent(transfer_id id, std::size_t bytes) {
  const auto found = responses_.find(id);
  found->second.sent_bytes += bytes;
  unsent_bytes_ -= bytes;
  if (found->second.unsent() == 0) Erase(found);
}

void outbound_responses::Remove(transfer_id id) {
  const auto found = responses_.find(id);
  if (found != responses_.end()) Erase(found);
}

void outbound_responses::Erase(std::map<transfer_id, state>::iterator ended) {
  unsent_bytes_ -= ended->second.unsent();
  std::erase(order_, ended->first);
  responses_.erase(ended);
}

}  // namespace cornelweir::admission
