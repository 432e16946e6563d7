#ifndef CORNELWEIR_SRC_STORAGE_DURABLE_NODE_H_
#define CORNELWEIR_SRC_STORAGE_DURABLE_NODE_H_

#include <boost/leaf.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/replication/message.h"
#include "cornelweir/src/replication/node.h"
#include "cornelweir/src/replication/node_builder.h"
#include "cornelweir/src/replication/ready.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/log_storage.h"
#include "cornelweir/src/storage/recovered_state.h"
#include "cornelweir/src/storage/storage_error.h"
#include "cornelweir/src/storage/storage_health.h"

namespace cornelweir::storage {

// A node of the replicated log together with its store. While the store fails, the host takes no
// part in the group: its node is replaced by one that knows nothing, neither votes nor
// acknowledges, and is never the leader. Once the store takes writes again, a new node is built
// from what was read back, as after a restart of the process.
template <log_storage Store>
class durable_node {
 public:
  // Builds the node of a host from the content of its data folder.
  using node_factory = std::function<replication::node(recovered_state)>;

  struct handlers {
    // The store was loaded. Called before the node that is built from its content exists.
    std::function<void(const recovered_state&)> loaded;
    // The node was lost: everything that waits for it must be answered without a result.
    std::function<void(const storage_error&)> failed;
    std::function<void(const storage_outage&)> recovered;
    // The store keeps failing; called once each kOutageReportPeriod.
    std::function<void(const storage_error&, const storage_outage&)> still_failing;
    // A snapshot that was to shorten the log was not written. The log remains as it is.
    std::function<void(const storage_error&)> snapshot_postponed;
    // The files can't be used without an operator.
    std::function<void(const storage_error&)> unusable;
  };

  // The detached node stands in while there is no content to build a node from. It must not have
  // stored data, and is never given messages or the time.
  durable_node(Store store, node_factory make_node, replication::node detached, handlers callbacks)
      : store_(std::move(store)),
        make_node_(std::move(make_node)),
        node_(std::move(detached)),
        handlers_(std::move(callbacks)) {}

  // Loads the store for the first time. Storage whose calls fail is tried again by Tick(). Returns
  // an error only if the content of the files can't be used.
  boost::leaf::result<void> Start(kernel::time_point now) {
    const std::optional<storage_error> error = Load();
    if (!error) return {};
    if (!IsTransient(*error)) return boost::leaf::new_error(*error);
    OnFault(*error, now);
    return {};
  }

  // Passes the time to the node, or tries to recover the store if that is due.
  void Tick(kernel::time_point now) {
    if (health_.IsHealthy()) {
      node_.Tick(now);
      return;
    }
    if (health_.IsAttemptDue(now)) TryToRecover(now);
    if (health_.IsReportDue(now)) handlers_.still_failing(last_error_, *Outage(now));
  }

  void Receive(const replication::envelope& message, kernel::time_point now) {
    if (health_.IsHealthy()) node_.Receive(message, now);
  }

  // Stores what the node has ready and returns it, to be sent and applied. Returns nothing if the
  // node has nothing ready or the store failed.
  template <kernel::clock_source Clock>
  std::optional<replication::ready> TakeDurable(const Clock& clock) {
    if (!health_.IsHealthy() || !node_.HasReady()) return std::nullopt;
    replication::ready output = node_.TakeReady();
    const kernel::time_point started_at = clock.Now();
    if (const std::optional<storage_error> error = Persist(output)) {
      OnFault(*error, clock.Now());
      return std::nullopt;
    }
    node_.Persisted(clock.Now() - started_at);
    return output;
  }

  bool IsHealthy() const { return health_.IsHealthy(); }
  const storage_health& health() const { return health_; }
  std::optional<storage_outage> Outage(kernel::time_point now) const {
    return health_.CurrentOutage(now);
  }
  // The error of the latest outage; meaningless if there was none.
  const storage_error& last_error() const { return last_error_; }
  std::optional<std::uint64_t> FreeBytes() const { return store_.FreeBytes(); }

  const replication::node& node() const { return node_; }
  // Must be given proposals and read requests only while the storage is healthy.
  replication::node& node() { return node_; }

 private:
  using result = boost::leaf::result<void>;

  // Returns the error of a call, or nothing if it succeeded.
  template <class Call>
  static std::optional<storage_error> ErrorOf(Call call) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<storage_error>> {
          BOOST_LEAF_CHECK(call());
          return std::nullopt;
        },
        [](const storage_error& error) { return std::optional(error); },
        [] { return std::optional(storage_error()); });
  }

  std::optional<storage_error> Load() {
    std::optional<storage_error> error = ErrorOf([this] { return store_.Load(); });
    if (error) return error;
    recovered_state content = store_.TakeRecoveredState();
    handlers_.loaded(content);
    node_ = make_node_(std::move(content));
    return std::nullopt;
  }

  void TryToRecover(kernel::time_point now) {
    health_.OnAttempt();
    const std::optional<storage_error> error = Load();
    if (!error) {
      handlers_.recovered(health_.OnRecovered(now));
      return;
    }
    last_error_ = *error;
    health_.OnFault(now);
    if (!IsTransient(*error)) handlers_.unusable(*error);
  }

  // Nothing that the node has in memory counts as stored any more, but the hosts of the group are
  // still needed to keep links to them.
  void OnFault(const storage_error& error, kernel::time_point now) {
    last_error_ = error;
    health_.OnFault(now);
    node_ = replication::node_builder().Configuration(node_.configuration()).Build();
    handlers_.failed(error);
  }

  std::optional<storage_error> Persist(const replication::ready& output) {
    const bool has_content =
        output.state || !output.entries.empty() || output.snapshot || output.compacted;
    if (!has_content) return std::nullopt;
    return ErrorOf([&]() -> result {
      if (output.snapshot) BOOST_LEAF_CHECK(store_.SaveSnapshot(*output.snapshot));
      BOOST_LEAF_CHECK(store_.Append(output.state, output.entries));
      if (output.compacted) BOOST_LEAF_CHECK(SaveCompacted(*output.compacted));
      return store_.Sync();
    });
  }

  // A snapshot of entries that the log still holds can wait, and must not take the room that the
  // log needs.
  result SaveCompacted(const replication::snapshot& compacted) {
    const std::optional<std::uint64_t> free_bytes = store_.FreeBytes();
    if (free_bytes && *free_bytes < compacted.data.bytes.size() + kReservedBytes) {
      handlers_.snapshot_postponed(storage_error{storage_fault::kFull, "snapshot"});
      return {};
    }
    const std::optional<storage_error> error =
        ErrorOf([&] { return store_.SaveSnapshot(compacted); });
    if (!error) return {};
    if (!store_.IsUsable()) return boost::leaf::new_error(*error);
    handlers_.snapshot_postponed(*error);
    return {};
  }

  Store store_;
  node_factory make_node_;
  replication::node node_;
  handlers handlers_;
  storage_health health_;
  storage_error last_error_;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_DURABLE_NODE_H_
