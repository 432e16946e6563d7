#include "plugins/sidecar/bulk_sender.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/logging.h"
#include "plugins/sidecar/host_traffic.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// A receiver that leaves a piece unacknowledged for this long is frozen or unreachable. Its pieces
// no longer occupy the window, so that transfers to other receivers continue.
constexpr kernel::milliseconds kStallTimeout{500};
constexpr kernel::milliseconds kCheckPeriod{100};

}  // namespace internal

bulk_sender::bulk_sender(daemon_context& context)
    : context_(context), telemetry_(context.metrics), check_timer_(context.loop) {}

bool bulk_sender::IsLarge(std::size_t bytes) { return bytes > admission::kMinPieceBytes; }

bool bulk_sender::TakeRoom(response_body& body) {
  if (body.hold) {
    body.hold->MoveTo(memory::memory_use::kLinkTransfers);
    return true;
  }
  body.hold =
      std::make_shared<memory::memory_hold>(context_.memory, memory::memory_use::kLinkTransfers);
  return body.hold->Resize(kernel::byte_count(static_cast<std::int64_t>(body.bytes.size())));
}

bool bulk_sender::Send(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                       response_body body) {
  if (!TakeRoom(body)) return false;
  const admission::transfer_id transfer_id(next_transfer_++);
  transfer& added = transfers_[transfer_id];
  added.link = link;
  added.id = id;
  added.body = std::make_shared<const std::string>(std::move(body.bytes));
  added.allowed_bytes = added.body->size();
  added.hold = std::move(body.hold);
  added.queued_at = Now();
  added.on_given_up = std::move(body.on_given_up);
  responses_.Add({transfer_id, added.body->size(), body.priority, body.objective, body.deadline,
                  body.may_be_dropped});
  PlanResponses();
  SendQueuedPieces();
  return true;
}

void bulk_sender::SendOnCredit(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                               std::shared_ptr<const std::string> body,
                               std::function<void()> on_sent) {
  transfer& added = transfers_[admission::transfer_id(next_transfer_++)];
  added.link = link;
  added.id = id;
  added.body = std::move(body);
  added.on_credit = true;
  added.queued_at = Now();
  added.on_sent = std::move(on_sent);
}

void bulk_sender::AddCredit(const transport::link* link, kernel::call_id id, std::uint64_t bytes) {
  const auto found = std::find_if(transfers_.begin(), transfers_.end(), [&](const auto& waiting) {
    return waiting.second.on_credit && waiting.second.link.get() == link && waiting.second.id == id;
  });
  if (found == transfers_.end()) return;
  transfer& granted = found->second;
  const std::size_t ungranted = granted.body->size() - granted.allowed_bytes;
  granted.allowed_bytes += static_cast<std::size_t>(std::min<std::uint64_t>(bytes, ungranted));
  SendQueuedPieces();
}

bool bulk_sender::IsStalled(const transfer& waiting) const {
  const auto receiver = receivers_.find(waiting.link.get());
  return receiver != receivers_.end() && receiver->second.stalled;
}

bool bulk_sender::MaySend(const transfer& waiting) const {
  return waiting.HasSendableBytes() && !IsStalled(waiting);
}

std::map<admission::transfer_id, bulk_sender::transfer>::iterator bulk_sender::NextTransfer() {
  const auto granted = std::find_if(transfers_.begin(), transfers_.end(), [&](const auto& waiting) {
    return waiting.second.on_credit && MaySend(waiting.second);
  });
  if (granted != transfers_.end()) return granted;
  const auto next =
      responses_.Next([&](admission::transfer_id id) { return MaySend(transfers_.at(id)); });
  return next ? transfers_.find(*next) : transfers_.end();
}

void bulk_sender::SendQueuedPieces() {
  while (window_.HasRoom()) {
    const auto next = NextTransfer();
    if (next == transfers_.end()) break;
    transfer& sent = next->second;
    SendPiece(next->first, sent);
    if (sent.sent_bytes < sent.body->size()) continue;
    OnEnded(sent, transfer_end::kSent);
    const std::function<void()> on_sent = std::move(sent.on_sent);
    transfers_.erase(next);
    if (on_sent) on_sent();
  }
  StartCheckTimer();
}

void bulk_sender::SendPiece(admission::transfer_id id, transfer& next) {
  const std::size_t bytes = std::min(window_.PieceBytes(), next.allowed_bytes - next.sent_bytes);
  std::string_view piece = *next.body;
  piece = piece.substr(next.sent_bytes, bytes);
  next.sent_bytes += bytes;
  if (!next.on_credit) responses_.OnSent(id, bytes, Now());
  receivers_[next.link.get()].pieces.push_back({bytes, Now(), next.on_credit});
  window_.OnSent(bytes, Now());
  SendCountedData(context_.metrics, *next.link,
                  protocol::body_piece{next.id, next.sent_bytes == next.body->size()}, piece);
}

void bulk_sender::OnPieceAcknowledged(const transport::link* link) {
  const auto found = receivers_.find(link);
  if (found == receivers_.end() || found->second.pieces.empty()) return;
  receiver_state& receiver = found->second;
  const piece acknowledged = receiver.pieces.front();
  receiver.pieces.pop_front();
  // The pieces of a stalled receiver have already left the window.
  if (!receiver.stalled && acknowledged.on_credit) {
    window_.OnAcknowledgedOnCredit(acknowledged.bytes);
  } else if (!receiver.stalled) {
    window_.OnAcknowledged(acknowledged.bytes, Now() - acknowledged.sent_at, Now());
  }
  if (receiver.stalled && receiver.pieces.empty()) {
    receiver.stalled = false;
    PlanResponses();
  }
  SendQueuedPieces();
}

void bulk_sender::OnEnded(const transfer& ended, transfer_end end) {
  telemetry_.OnEnded({ended.on_credit, ended.body->size(), ended.sent_bytes, end,
                      Now() - ended.queued_at, responses_.unsent_bytes(), window_.window(),
                      window_.last_delay(), window_.bytes_per_second()});
}

template <class Predicate>
void bulk_sender::DropTransfers(transfer_end end, Predicate&& is_dropped) {
  std::erase_if(transfers_, [&](const auto& waiting) {
    const auto& [id, dropped] = waiting;
    if (!is_dropped(id, dropped)) return false;
    if (!dropped.on_credit) responses_.Remove(id);
    OnEnded(dropped, end);
    return true;
  });
}

// The callbacks may use this object, so they are called when nothing refers to a transfer.
template <class Predicate>
void bulk_sender::GiveUpResponses(transfer_end end, Predicate&& is_given_up) {
  std::vector<std::function<void()>> given_up;
  DropTransfers(end, [&](admission::transfer_id id, const transfer& waiting) {
    if (waiting.on_credit || !is_given_up(id, waiting)) return false;
    given_up.push_back(waiting.on_given_up);
    return true;
  });
  if (given_up.empty()) return;
  logging::event(logging::event_id::kResponsesGivenUp).With("count", given_up.size());
  context_.metrics
      .Counter("cornelweir_transfers_given_up_total",
               "Responses to other daemons that were given up before they were sent", {})
      .Increment(given_up.size());
  for (const std::function<void()>& on_given_up : given_up) on_given_up();
}

void bulk_sender::PlanResponses() {
  for (const auto& [id, waiting] : transfers_) {
    if (!waiting.on_credit) responses_.SetStalled(id, IsStalled(waiting));
  }
  const std::vector<admission::transfer_id> given_up =
      responses_.Plan(window_.bytes_per_second(), Now());
  if (given_up.empty()) return;
  GiveUpResponses(transfer_end::kLate, [&](admission::transfer_id id, const transfer&) {
    return std::find(given_up.begin(), given_up.end(), id) != given_up.end();
  });
}

void bulk_sender::GiveUpStalledResponses() {
  while (context_.memory->IsScarce()) {
    const transfer* longest = nullptr;
    for (const auto& [id, waiting] : transfers_) {
      const auto found = receivers_.find(waiting.link.get());
      if (waiting.on_credit || found == receivers_.end() || !found->second.stalled) continue;
      if (longest == nullptr ||
          found->second.stalled_since < receivers_.at(longest->link.get()).stalled_since) {
        longest = &waiting;
      }
    }
    if (longest == nullptr) return;
    GiveUpResponses(transfer_end::kMemoryScarce,
                    [receiver = longest->link](admission::transfer_id, const transfer& waiting) {
                      return waiting.link == receiver;
                    });
  }
}

void bulk_sender::Cancel(const transport::link* link, kernel::call_id id) {
  DropTransfers(transfer_end::kCancelled, [&](admission::transfer_id, const transfer& waiting) {
    return waiting.link.get() == link && waiting.id == id;
  });
}

void bulk_sender::OnClosed(const transport::link* link) {
  DropTransfers(transfer_end::kLinkClosed, [&](admission::transfer_id, const transfer& waiting) {
    return waiting.link.get() == link;
  });
  const auto found = receivers_.find(link);
  if (found == receivers_.end()) return;
  if (!found->second.stalled) {
    for (const piece& lost : found->second.pieces) window_.OnLost(lost.bytes);
  }
  receivers_.erase(found);
  SendQueuedPieces();
}

void bulk_sender::DetectStalledReceivers() {
  const kernel::time_point now = Now();
  bool found_stalled = false;
  for (auto& [link, receiver] : receivers_) {
    if (receiver.stalled || receiver.pieces.empty()) continue;
    if (now - receiver.pieces.front().sent_at < internal::kStallTimeout) continue;
    receiver.stalled = found_stalled = true;
    receiver.stalled_since = receiver.pieces.front().sent_at;
    for (const piece& overdue : receiver.pieces) window_.OnLost(overdue.bytes);
  }
  if (!found_stalled) return;
  PlanResponses();
  SendQueuedPieces();
}

// Runs while pieces may become overdue or responses late.
void bulk_sender::StartCheckTimer() {
  if (check_timer_.running() || (window_.outstanding() == 0 && responses_.empty())) return;
  check_timer_.Start(internal::kCheckPeriod, [this] {
    DetectStalledReceivers();
    PlanResponses();
    GiveUpStalledResponses();
    StartCheckTimer();
  });
}

}  // namespace cornelweir::plugins::sidecar
