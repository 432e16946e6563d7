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
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Sends large bodies to other daemons as pieces within a shared window, so that small messages do
// not wait behind them on this host's network link. Request bodies are sent as far as their
// receivers have granted credit, and before responses, since a receiver keeps its link free for the
// bytes that it has granted. Receivers acknowledge each piece.
class bulk_sender {
 public:
  explicit bulk_sender(daemon_context& context);

  // Whether a body of this size is sent in pieces.
  static bool IsLarge(std::size_t bytes);

  // Queues the body of the response to request id for the link.
  void Send(const std::shared_ptr<transport::link>& link, kernel::call_id id, std::string body);
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
    return window_.EstimatedTransferTime(unsent_bytes_ + bytes);
  }
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
    std::function<void()> on_sent;
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
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void SendQueuedPieces();
  // The transfer to send a piece of next; the end of transfers_ if there is none.
  std::deque<transfer>::iterator NextTransfer();
  void SendPiece(transfer& next);
  template <class Predicate>
  void DropTransfers(Predicate&& is_dropped);
  void DetectStalledReceivers();
  void StartStallTimer();

  daemon_context& context_;
  admission::transfer_window window_;
  std::deque<transfer> transfers_;
  // Unsent bytes of all responses.
  std::size_t unsent_bytes_ = 0;
  std::map<const transport::link*, receiver_state> receivers_;
  loop::timer stall_timer_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_
