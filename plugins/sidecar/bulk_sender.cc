#include "plugins/sidecar/bulk_sender.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "plugins/sidecar/data_frame.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// A receiver that leaves a piece unacknowledged for this long is frozen or unreachable. Its pieces
// no longer occupy the window, so that transfers to other receivers continue.
constexpr kernel::milliseconds kStallTimeout{500};
constexpr kernel::milliseconds kStallCheckPeriod{100};

}  // namespace internal

bulk_sender::bulk_sender(daemon_context& context) : context_(context), stall_timer_(context.loop) {}

bool bulk_sender::IsLarge(std::size_t bytes) { return bytes > admission::kMinPieceBytes; }

void bulk_sender::Send(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                       std::string body) {
  unsent_bytes_ += body.size();
  transfers_.push_back({link, id, std::move(body)});
  SendQueuedPieces();
}

void bulk_sender::SendQueuedPieces() {
  while (window_.HasRoom()) {
    const auto next = std::find_if(
        transfers_.begin(), transfers_.end(),
        [this](const transfer& waiting) { return !receivers_[waiting.link.get()].stalled; });
    if (next == transfers_.end()) break;
    SendPiece(*next);
    if (next->sent_bytes == next->body.size()) transfers_.erase(next);
  }
  StartStallTimer();
}

void bulk_sender::SendPiece(transfer& next) {
  std::string_view piece = next.body;
  piece = piece.substr(next.sent_bytes, window_.PieceBytes());
  next.sent_bytes += piece.size();
  unsent_bytes_ -= piece.size();
  receivers_[next.link.get()].pieces.push_back({piece.size(), Now()});
  window_.OnSent(piece.size(), Now());
  SendData(*next.link, protocol::body_piece{next.id, next.sent_bytes == next.body.size()}, piece);
}

void bulk_sender::OnPieceAcknowledged(const transport::link* link) {
  const auto found = receivers_.find(link);
  if (found == receivers_.end() || found->second.pieces.empty()) return;
  receiver_state& receiver = found->second;
  const piece acknowledged = receiver.pieces.front();
  receiver.pieces.pop_front();
  // The pieces of a stalled receiver have already left the window.
  if (!receiver.stalled) {
    window_.OnAcknowledged(acknowledged.bytes, Now() - acknowledged.sent_at, Now());
  }
  if (receiver.pieces.empty()) receiver.stalled = false;
  SendQueuedPieces();
}

void bulk_sender::Cancel(const transport::link* link, kernel::call_id id) {
  std::erase_if(transfers_, [&](const transfer& waiting) {
    if (waiting.link.get() != link || waiting.id != id) return false;
    unsent_bytes_ -= waiting.body.size() - waiting.sent_bytes;
    return true;
  });
}

void bulk_sender::OnClosed(const transport::link* link) {
  std::erase_if(transfers_, [&](const transfer& waiting) {
    if (waiting.link.get() != link) return false;
    unsent_bytes_ -= waiting.body.size() - waiting.sent_bytes;
    return true;
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
    for (const piece& overdue : receiver.pieces) window_.OnLost(overdue.bytes);
  }
  if (found_stalled) SendQueuedPieces();
}

void bulk_sender::StartStallTimer() {
  if (stall_timer_.running() || window_.outstanding() == 0) return;
  stall_timer_.Start(internal::kStallCheckPeriod, [this] {
    DetectStalledReceivers();
    StartStallTimer();
  });
}

}  // namespace cornelweir::plugins::sidecar
