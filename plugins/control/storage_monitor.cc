#include "plugins/control/storage_monitor.h"

#include "cornelweir/logging.h"

namespace cornelweir::plugins::control {

void storage_monitor::Report(const replica::durable_node& storage) {
  metrics_.Gauge("cornelweir_storage_healthy", "1 while the data folder takes writes", {})
      .Set(storage.IsHealthy() ? 1 : 0);
  metrics_.Gauge("cornelweir_storage_faults", "Outages of the data folder since the start", {})
      .Set(static_cast<double>(storage.health().outages()));
  ReportFreeSpace(storage);
}

void storage_monitor::ReportFreeSpace(const replica::durable_node& storage) {
  const auto free_bytes = storage.FreeBytes();
  if (!free_bytes) return;
  metrics_.Gauge("cornelweir_storage_free_bytes", "Free space of the data folder's disk", {})
      .Set(static_cast<double>(*free_bytes));
  const std::uint64_t limit = is_space_low_ ? storage::kEnoughSpaceBytes : storage::kLowSpaceBytes;
  const bool is_low = *free_bytes < limit;
  if (is_low == is_space_low_) return;
  is_space_low_ = is_low;
  logging::event(logging::event_id::kDiskSpaceLow)
      .With("low", is_low)
      .With("free_bytes", *free_bytes);
}

}  // namespace cornelweir::plugins::control
