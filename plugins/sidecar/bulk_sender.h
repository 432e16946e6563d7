#ifndef CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Sends the large bodies of responses to other daemons, in their order, a few pieces at a time, so
// that the network of this host stays free for small messages. Receivers say when they have taken
// a piece.
class bulk_sender {
 public:
  explicit bulk_sender(daemon_context& context);

  static bool IsLarge(std::size_t bytes);

  // Sends the body in pieces that belong to this request.
  void Send(const std::shared_ptr<transport::link>& to, kernel::call_id id, std::string body);
  // The daemon at the other end has taken the oldest piece.
  void OnTaken(const transport::link* from);
  // The request's response is not wanted any more.
  void Cancel(const transport::link* to, kernel::call_id id);
  void OnClosed(const transport::link* to);

  // How long a response of this size would take to leave behind all others.
  kernel::microseconds TimeFor(std::size_t bytes) const {
    return window_.EstimatedTransferTime(queued_ + bytes);
  }
  bool idle() const { return transfers_.empty(); }

 private:
  struct transfer {
    std::shared_ptr<transport::link> to;
    kernel::call_id id;
    std::string body;
    std::size_t sent = 0;
  };
  struct piece {
    std::size_t bytes = 0;
    kernel::time_point sent_at;
  };
  struct receiver {
    // Sent and not yet taken, oldest first.
    std::deque<piece> pieces;
    // Its oldest piece is overdue; nothing more is sent until it answers.
    bool stalled = false;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void Pump();
  void SendPiece(transfer& from);
  void FindStalled();
  void WatchReceivers();

  daemon_context& context_;
  admission::transfer_window window_;
  std::deque<transfer> transfers_;
  // Of all transfers, the bytes that have not been sent.
  std::size_t queued_ = 0;
  std::map<const transport::link*, receiver> receivers_;
  loop::timer watch_timer_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_BULK_SENDER_H_
