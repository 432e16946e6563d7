#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_REPLAYER_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_REPLAYER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/control.h"
#include "cornelweir/distribution.h"
#include "cornelweir/kernel.h"
#include "cornelweir/replication.h"
#include "programs/cornelweir_replay/trace.h"

namespace cornelweir::programs::replay {

// Runs a trace against the decision code that the daemons run, on a manual clock and with messages
// carried in memory. Checks the stated outcomes, and at every step that no daemon moves to an
// older version and that each holds exactly the scope of an accepted version.
class replayer {
 public:
  explicit replayer(const trace& recorded);

  // Runs to the end. Returns what did not hold; empty if everything did.
  std::vector<std::string> Run();

 private:
  // What a control host keeps on its disk.
  struct disk {
    kernel::disk_id id;
    bool bootstrap = false;
    replication::durable_state state;
    std::vector<replication::log_entry> entries;
  };

  struct control_host {
    std::optional<replication::node> node;
    control::state_machine machine;
    std::optional<distribution::publisher> publisher;
    disk stored;
    kernel::log_index applied;
    // Reads that wait for an index to be applied, with the publisher's question.
    std::vector<std::pair<kernel::log_index, kernel::nonce>> reads;
    std::map<kernel::nonce, kernel::nonce> questions;
  };

  struct daemon {
    kernel::service_name service;
    std::optional<distribution::relay> relay;
    std::optional<distribution::reconnect_policy<kernel::seeded_random>> policy;
    process_name publisher;
    std::uint64_t connection = 0;
    kernel::time_point connect_at;
    admission::admission_controller admission;
    std::map<std::uint64_t, std::string> requests;
    // The newest version that any process of this daemon enforced while it was ready.
    kernel::table_version highest;
  };

  // One connection of a daemon to its publisher.
  struct connection {
    process_name daemon;
    process_name publisher;
    bool subscribed = false;
  };

  struct delivery {
    kernel::time_point at;
    std::uint64_t number = 0;
    process_name from;
    process_name to;
    std::function<void()> run;

    friend bool operator<(const delivery& a, const delivery& b) {
      return std::tie(a.at, a.number) < std::tie(b.at, b.number);
    }
  };

  kernel::time_point Now() const { return clock_.Now(); }
  // Whether an action that is repeated with this period is due in the current step.
  bool IsDue(kernel::milliseconds period) const {
    return Now().time_since_epoch() % period == kernel::microseconds::zero();
  }
  bool IsUp(const process_name& process) const;
  bool CanReach(const process_name& from, const process_name& to) const;
  void Post(const process_name& from, const process_name& to, std::function<void()> run);

  void StartControl(const process_name& name, bool disk_lost, bool bootstrap);
  void StartDaemon(const process_name& name);
  void Kill(const process_name& name);

  void Step();
  void TickControl(const process_name& name, control_host& host);
  void DrainControl(const process_name& name, control_host& host);
  void Apply(const process_name& name, control_host& host, const replication::log_entry& entry);
  void Dispatch(const process_name& from, const distribution::subscriber_actions& actions);
  void AskProof(const process_name& name, control_host& host, kernel::nonce question);
  void AnswerReads(const process_name& name, control_host& host);

  void TickDaemon(const process_name& name, daemon& at);
  void Connect(const process_name& name, daemon& at);
  void Disconnect(std::uint64_t id);
  void SendUp(const process_name& name, const distribution::subscriber_message& message);
  void ReceiveUp(std::uint64_t id, const distribution::subscriber_message& message);
  void ReceiveDown(std::uint64_t id, const distribution::publisher_message& message);
  void Handle(const process_name& name, const distribution::relay_result& result);
  void ConfigureAdmission(daemon& at);

  void Run(const command_event& event);
  void Run(const kill_event& event);
  void Run(const start_event& event);
  void Run(const cut_event& event);
  void Run(const heal_event& event);
  void Run(const request_event& event);
  void Run(const finish_event& event);
  void Run(const drain_event& event);

  void Check(const expected_outcome& expected);
  codec::json Observe(const expected_outcome& expected);
  void CheckInvariants(const process_name& name, daemon& at);
  void Fail(const std::string& text);

  const trace& trace_;
  kernel::manual_clock clock_;
  kernel::seeded_random random_;
  std::map<process_name, control_host> controls_;
  std::map<process_name, daemon> daemons_;
  std::set<process_name> cut_;
  std::map<std::uint64_t, connection> connections_;
  std::uint64_t next_connection_ = 1;
  std::set<delivery> deliveries_;
  std::uint64_t next_delivery_ = 1;
  std::uint64_t next_nonce_ = 1;
  std::uint64_t next_disk_ = 1;
  // Proposals that wait for their entry, by host and index, with the term.
  std::map<std::pair<process_name, kernel::log_index>, std::pair<kernel::term, std::string>>
      proposals_;
  std::map<std::string, codec::json> outcomes_;
  // The rows of every accepted version, to compare daemons with.
  std::map<kernel::table_version, table::row_map> accepted_;
  std::vector<std::string> failures_;
};

}  // namespace cornelweir::programs::replay

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_REPLAY_REPLAYER_H_
