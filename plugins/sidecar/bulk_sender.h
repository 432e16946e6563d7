#ifndef CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/memory.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/transfer_telemetry.h"

namespace cornelweir::plugins::sidecar {

// Sends large bodies to other daemons as pieces within a shared window, so that small messages do
// not wait behind them on this host's network link. Request bodies are sent as far as their
// receivers have granted credit, and before responses, since a receiver keeps its link free for the
// bytes that it has granted. Receivers acknowledge each piece. A response that can't be sent in
// time is given up, and those for the receivers that have been stalled for longest are given up
// while memory is scarce.
class bulk_sender {
 public:
  explicit bulk_sender(daemon_context& context);

  // Whether a body of this size is sent in pieces.
  static bool IsLarge(std::size_t bytes);

  // The body of a response, and what ends its transfer.
  struct response_body {
    std::string bytes;
    // The bytes in the account of the process; if null, Send() takes them.
    std::shared_ptr<memory::memory_hold> hold = nullptr;
    // 0 is the most urgent.
    std::int32_t priority = 0;
    // The time by which it should be sent to meet the target latency.
    kernel::time_point objective = kernel::time_point::max();
    // When the receiver stops waiting for it.
    kernel::time_point deadline = kernel::time_point::max();
    // The request may be repeated, so the response may be given up for others.
    bool may_be_dropped = false;
    // Called if the transfer is given up before its last piece was sent. The link is open then.
    std::function<void()> on_given_up = [] {};
  };

  // Queues the body of the response to request id for the link. Returns false if the account has no
  // room for it.
  bool Send(const std::shared_ptr<transport::link>& link, kernel::call_id id, response_body body);
  // Queues the body of request id for the link. on_sent is called when its last piece was handed to
  // the link.
  void SendOnCredit(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                    std::shared_ptr<const std::string> body, std::function<void()> on_sent);
  // Records that the receiver granted further bytes of the body of request id.
  void AddCredit(const transport::link* link, kernel::call_id id, std::uint64_t bytes);
  // Records the acknowledgement of the oldest outstanding piece on the link.
  void OnPieceAcknowledged(const transport::link* link);
  // Drops the unsent rest of the body of request id or of the response to it.
  void Cancel(const transport::link* link, kernel::call_id id);
  // Drops all transfers on the link and its outstanding pieces.
  void OnClosed(const transport::link* link);

  // Estimated time until a response of this size is sent, behind all queued transfers.
  kernel::microseconds EstimatedTransferTime(std::size_t bytes) const {
    return window_.EstimatedTransferTime(responses_.unsent_bytes() + bytes);
  }
  // The same for one response alone.
  kernel::microseconds TransferTimeAlone(std::size_t bytes) const {
    return window_.EstimatedTransferTime(bytes);
  }
  // See outbound_responses.
  bool MayExceedNetwork() const { return responses_.MayExceedNetwork(Now()); }
  bool idle() const { return transfers_.empty(); }

 private:
  struct transfer {
    std::shared_ptr<transport::link> link;
    kernel::call_id id;
    std::shared_ptr<const std::string> body;
    bool on_credit = false;
    // Bytes of the body that may be sent.
    std::size_t allowed_bytes = 0;
    std::size_t sent_bytes = 0;
    kernel::time_point queued_at;
    std::function<void()> on_sent;
    // Of a response.
    std::shared_ptr<memory::memory_hold> hold;
    std::function<void()> on_given_up;

    bool HasSendableBytes() const { return sent_bytes < allowed_bytes; }
  };
  struct piece {
    std::size_t bytes = 0;
    kernel::time_point sent_at;
    bool on_credit = false;
  };
  struct receiver_state {
    // Sent and not yet acknowledged, oldest first.
    std::deque<piece> pieces;
    // The oldest piece is overdue. Nothing is sent to the receiver until it has acknowledged all
    // outstanding pieces.
    bool stalled = false;
    // Since when the oldest piece has been unacknowledged, if stalled.
    kernel::time_point stalled_since;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void SendQueuedPieces();
  bool IsStalled(const transfer& waiting) const;
  bool MaySend(const transfer& waiting) const;
  // The transfer to send a piece of next; the end of transfers_ if there is none.
  std::map<admission::transfer_id, transfer>::iterator NextTransfer();
  void SendPiece(admission::transfer_id id, transfer& next);
  void OnEnded(const transfer& ended, transfer_end end);
  template <class Predicate>
  void DropTransfers(transfer_end end, Predicate&& is_dropped);
  // Drops the responses that match, then calls on_given_up of each.
  template <class Predicate>
  void GiveUpResponses(transfer_end end, Predicate&& is_given_up);
  // Orders the responses anew, and gives up those that can't be sent in time.
  void PlanResponses();
  // Gives up the responses of one stalled receiver after the other while memory is scarce.
  void GiveUpStalledResponses();
  bool TakeRoom(response_body& body);
  void DetectStalledReceivers();
  void StartCheckTimer();

  daemon_context& context_;
  admission::transfer_window window_;
  transfer_telemetry telemetry_;
  std::uint64_t next_transfer_ = 1;
  // In the order of their arrival.
  std::map<admission::transfer_id, transfer> transfers_;
  // Those of transfers_ that are responses.
  admission::outbound_responses responses_;
  std::map<const transport::link*, receiver_state> receivers_;
  loop::timer check_timer_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_
