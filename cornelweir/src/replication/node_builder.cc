#include "cornelweir/src/replication/node_builder.h"

#include <algorithm>
#include <memory>

namespace cornelweir::replication {

node node_builder::Build() const {
  node built;
  built.self_ = self_;
  built.disk_ = disk_;
  built.bootstrap_ = bootstrap_;
  built.random_ = kernel::seeded_random(seed_);
  built.state_ = state_;
  if (snapshot_) {
    built.snapshot_ = std::make_shared<const snapshot>(*snapshot_);
    built.log_ = internal::replicated_log(snapshot_->index, snapshot_->term);
    built.configurations_[snapshot_->index] = snapshot_->configuration;
  } else {
    built.configurations_[kernel::log_index(0)] = initial_;
  }
  for (const log_entry& entry : entries_) {
    if (entry.index == Next(built.log_.last_index())) built.AppendToLog(entry);
  }
  // A crash may leave a snapshot or entries durable without the term that they came with. This host
  // can't have sent a vote in that term then.
  if (built.log_.last_term() > built.state_.term) {
    built.state_ = durable_state{built.log_.last_term(), std::nullopt};
  }
  built.taken_state_ = state_;
  built.commit_index_ = built.delivered_index_ = built.log_.base_index();
  built.taken_index_ = built.durable_index_ = built.log_.last_index();
  return built;
}

}  // namespace cornelweir::replication
