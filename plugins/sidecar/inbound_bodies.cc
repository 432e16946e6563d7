#include "plugins/sidecar/inbound_bodies.h"

#include <utility>
#include <vector>

#include "plugins/sidecar/host_traffic.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// How often bodies are checked against their deadlines, and senders for stalls.
constexpr kernel::milliseconds kTransferCheckPeriod{20};

}  // namespace internal

inbound_bodies::inbound_bodies(daemon_context& context, give_up_callback on_given_up)
    : context_(context), on_given_up_(std::move(on_given_up)), timer_(context.loop) {}

bool inbound_bodies::Announce(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                              admission::transfer_request request) {
  request.id = admission::transfer_id(next_transfer_++);
  if (!transfers_.Announce(request, Now())) return false;
  senders_[request.id] = {link, id};
  ids_[{link.get(), id}] = request.id;
  for (const admission::transfer_id displaced : transfers_.Expire(Now())) GiveUp(displaced);
  SendCredit();
  StartTimer();
  return true;
}

void inbound_bodies::SendCredit() {
  for (const admission::transfer_credit& credit : transfers_.Grant(Now())) {
    const sender& granted = senders_.at(credit.id);
    SendCountedData(context_.metrics, *granted.link,
                    protocol::body_credit{granted.id, credit.bytes});
  }
}

admission::transfer_progress inbound_bodies::OnPiece(const transport::link* link,
                                                     kernel::call_id id, std::size_t bytes) {
  const auto found = ids_.find({link, id});
  if (found == ids_.end()) return admission::transfer_progress::kUnknown;
  const admission::transfer_progress progress = transfers_.OnArrived(found->second, bytes, Now());
  if (progress == admission::transfer_progress::kComplete) Forget(found);
  SendCredit();
  return progress;
}

void inbound_bodies::Forget(std::map<request_key, admission::transfer_id>::iterator ended) {
  senders_.erase(ended->second);
  ids_.erase(ended);
}

void inbound_bodies::Cancel(const transport::link* link, kernel::call_id id) {
  const auto found = ids_.find({link, id});
  if (found == ids_.end()) return;
  transfers_.Remove(found->second);
  Forget(found);
  SendCredit();
}

void inbound_bodies::OnClosed(const transport::link* link) {
  auto next = ids_.lower_bound({link, kernel::call_id()});
  while (next != ids_.end() && next->first.first == link) {
    transfers_.Remove(next->second);
    Forget(next++);
  }
  SendCredit();
}

void inbound_bodies::GiveUp(admission::transfer_id id) {
  const sender ended = senders_.at(id);
  Forget(ids_.find({ended.link.get(), ended.id}));
  on_given_up_(ended.link.get(), ended.id);
}

void inbound_bodies::GiveUpAll() {
  while (!senders_.empty()) {
    const admission::transfer_id id = senders_.begin()->first;
    transfers_.Remove(id);
    GiveUp(id);
  }
}

void inbound_bodies::StartTimer() {
  if (timer_.running() || transfers_.empty()) return;
  timer_.Start(internal::kTransferCheckPeriod, [this] {
    for (const admission::transfer_id expired : transfers_.Expire(Now())) GiveUp(expired);
    SendCredit();
    StartTimer();
  });
}

}  // namespace cornelweir::plugins::sidecar
