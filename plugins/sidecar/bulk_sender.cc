#include "plugins/sidecar/bulk_sender.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "plugins/sidecar/data_frame.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// A piece that was not taken for so long does not count as on its way any more: its receiver is
// frozen or cut off, and the others must not wait for it.
constexpr kernel::milliseconds kOverduePiece{500};
constexpr kernel::milliseconds kWatchPeriod{100};

}  // namespace internal

bulk_sender::bulk_sender(daemon_context& context) : context_(context), watch_timer_(context.loop) {}

bool bulk_sender::IsLarge(std::size_t bytes) { return bytes > admission::kMinPieceBytes; }

void bulk_sender::Send(const std::shared_ptr<transport::link>& to, kernel::call_id id,
                       std::string body) {
  queued_ += body.size();
  transfers_.push_back({to, id, std::move(body)});
  Pump();
}

void bulk_sender::Pump() {
  while (window_.HasRoom()) {
    const auto next = std::find_if(
        transfers_.begin(), transfers_.end(),
        [this](const transfer& waiting) { return !receivers_[waiting.to.get()].stalled; });
    if (next == transfers_.end()) break;
    SendPiece(*next);
    if (next->sent == next->body.size()) transfers_.erase(next);
  }
  WatchReceivers();
}

void bulk_sender::SendPiece(transfer& from) {
  std::string_view piece = from.body;
  piece = piece.substr(from.sent, window_.PieceBytes());
  from.sent += piece.size();
  queued_ -= piece.size();
  receivers_[from.to.get()].pieces.push_back({piece.size(), Now()});
  window_.OnSent(piece.size(), Now());
  SendData(*from.to, protocol::body_piece{from.id, from.sent == from.body.size()}, piece);
}

void bulk_sender::OnTaken(const transport::link* from) {
  const auto found = receivers_.find(from);
  if (found == receivers_.end() || found->second.pieces.empty()) return;
  receiver& at = found->second;
  const piece taken = at.pieces.front();
  at.pieces.pop_front();
  // Pieces to a stalled receiver are not counted any more.
  if (!at.stalled) window_.OnAcknowledged(taken.bytes, Now() - taken.sent_at, Now());
  if (at.pieces.empty()) at.stalled = false;
  Pump();
}

void bulk_sender::Cancel(const transport::link* to, kernel::call_id id) {
  std::erase_if(transfers_, [&](const transfer& waiting) {
    if (waiting.to.get() != to || waiting.id != id) return false;
    queued_ -= waiting.body.size() - waiting.sent;
    return true;
  });
}

void bulk_sender::OnClosed(const transport::link* to) {
  std::erase_if(transfers_, [&](const transfer& waiting) {
    if (waiting.to.get() != to) return false;
    queued_ -= waiting.body.size() - waiting.sent;
    return true;
  });
  const auto found = receivers_.find(to);
  if (found == receivers_.end()) return;
  if (!found->second.stalled) {
    for (const piece& lost : found->second.pieces) window_.OnLost(lost.bytes);
  }
  receivers_.erase(found);
  Pump();
}

void bulk_sender::FindStalled() {
  const kernel::time_point now = Now();
  bool any = false;
  for (auto& [link, at] : receivers_) {
    if (at.stalled || at.pieces.empty()) continue;
    if (now - at.pieces.front().sent_at < internal::kOverduePiece) continue;
    at.stalled = any = true;
    for (const piece& overdue : at.pieces) window_.OnLost(overdue.bytes);
  }
  if (any) Pump();
}

void bulk_sender::WatchReceivers() {
  if (watch_timer_.running() || window_.outstanding() == 0) return;
  watch_timer_.Start(internal::kWatchPeriod, [this] {
    FindStalled();
    WatchReceivers();
  });
}

}  // namespace cornelweir::plugins::sidecar
