#ifndef CORNELWEIR_PLUGINS_SIDECAR_INBOUND_BODIES_H_
#define CORNELWEIR_PLUGINS_SIDECAR_INBOUND_BODIES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Sends credit for large request bodies to their senders, as admission::inbound_transfers decides.
// A request is identified by the link on which it was announced and its id there.
class inbound_bodies {
 public:
  // Called for an accepted body that can no longer arrive in time.
  using give_up_callback = std::function<void(const transport::link*, kernel::call_id)>;

  inbound_bodies(daemon_context& context, give_up_callback on_given_up);

  // Accepts or refuses a body; fills in the id of the transfer. May give up other bodies.
  bool Announce(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                admission::transfer_request request);
  // Records that a part of a body has arrived.
  admission::transfer_progress OnPiece(const transport::link* link, kernel::call_id id,
                                       std::size_t bytes);
  // Ends the transfer if there is one: no more credit is sent.
  void Cancel(const transport::link* link, kernel::call_id id);
  // Ends all transfers of the link.
  void OnClosed(const transport::link* link);
  // Gives up all bodies.
  void GiveUpAll();

  std::size_t missing_bytes() const { return transfers_.missing_bytes(); }
  kernel::microseconds DrainTime() const { return transfers_.DrainTime(); }
  // 0 if unknown.
  std::int64_t bytes_per_second() const {
    return static_cast<std::int64_t>(transfers_.bytes_per_second());
  }

 private:
  using request_key = std::pair<const transport::link*, kernel::call_id>;
  struct sender {
    std::shared_ptr<transport::link> link;
    kernel::call_id id;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void SendCredit();
  void GiveUp(admission::transfer_id id);
  void Forget(std::map<request_key, admission::transfer_id>::iterator ended);
  void StartTimer();

  daemon_context& context_;
  give_up_callback on_given_up_;
  admission::inbound_transfers transfers_;
  std::uint64_t next_transfer_ = 1;
  std::map<admission::transfer_id, sender> senders_;
  std::map<request_key, admission::transfer_id> ids_;
  loop::timer timer_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_INBOUND_BODIES_H_
