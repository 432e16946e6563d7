#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/table/configuration.h"
#include "cornelweir/src/table/limits.h"

namespace cornelweir::table {
namespace internal {

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

// Collects the faults of one table.
class validator {
 public:
  explicit validator(const row_map& rows) : rows_(rows) {}

  std::vector<table_fault> Run() {
    if (rows_.size() > kMaxRows) Fault({}, "", "the table has more than 100000 rows");
    for (const auto& [key, content] : rows_) {
      CheckName(key);
      std::visit([&, &k = key](const auto& row) { Check(k, row); }, content);
    }
    CheckWeights();
    CheckCallDepth();
    return std::move(faults_);
  }

 private:
  void Fault(const row_key& key, std::string cell, std::string reason) {
    faults_.push_back(table_fault{key, std::move(cell), std::move(reason)});
  }

  void CheckName(const row_key& key) {
    if (key.kind == row_kind::kSplit) {
      if (!IsValidName(SplitService(key).value()) || !IsValidName(SplitSubset(key).value())) {
        Fault(key, "", "the name must have the form <service>/<subset>");
      }
    } else if (!IsValidName(key.name)) {
      Fault(key, "", "a name has 1 to 64 letters, digits, '-', '_' or '.'");
    }
  }

  void CheckRange(const row_key& key, const char* cell, std::int64_t value, std::int64_t least,
                  std::int64_t most) {
    if (value >= least && value <= most) return;
    Fault(key, cell,
          std::to_string(value) + " is outside " + std::to_string(least) + ".." +
              std::to_string(most));
  }

  void CheckReference(const row_key& key, const char* cell, const row_key& referred) {
    if (!rows_.contains(referred)) {
      Fault(key, cell, "there is no row " + ToString(referred));
    }
  }

  void Check(const row_key& key, const service_row& row) {
    CheckReference(key, "limit", KeyOf(row.limit));
    CheckReference(key, "wait", KeyOf(row.wait));
    if (row.calls.size() > kMaxCallsOfService) {
      Fault(key, "calls", "a service calls at most 128 services");
    }
    std::set<kernel::service_name> seen;
    for (const kernel::service_name& callee : row.calls) {
      CheckReference(key, "calls", KeyOf(callee));
      if (!seen.insert(callee).second) {
        Fault(key, "calls", "service '" + callee.value() + "' is listed twice");
      }
    }
  }

  void Check(const row_key& key, const split_row& row) {
    CheckRange(key, "weight", row.weight.value(), 0, kMaxWeight);
    CheckReference(key, "", KeyOf(SplitService(key)));
  }

  void Check(const row_key& key, const limit_row& row) {
    CheckRange(key, "upstream_in_flight", row.upstream_in_flight.value(), 1, kMaxInFlight);
    CheckRange(key, "service_in_flight", row.service_in_flight.value(), 1, kMaxInFlight);
    CheckRange(key, "tenant_in_flight", row.workspace_in_flight.value(), 1, kMaxInFlight);
    CheckRange(key, "queue_length", row.queue_length.value(), 0, kMaxQueueLength);
  }

  void Check(const row_key& key, const wait_row& row) {
    CheckRange(key, "request_ms", row.request_ms, 1, kMaxWaitMs);
    CheckRange(key, "queue_ms", row.queue_ms, 0, kMaxWaitMs);
    if (row.queue_ms > row.request_ms) {
      Fault(key, "queue_ms", "the queue wait is longer than the whole request may take");
    }
  }

  void Check(const row_key& key, const route_row& row) {
    CheckReference(key, "service", KeyOf(row.service));
    if (row.path_prefix.empty() || row.path_prefix.front() != '/' ||
        row.path_prefix.size() > kMaxPathPrefixBytes) {
      Fault(key, "path_prefix", "a path prefix starts with '/' and has at most 256 bytes");
      return;
    }
    const auto [other, inserted] = prefixes_.emplace(row.path_prefix, key);
    if (!inserted) {
      Fault(key, "path_prefix", "the same prefix is used by " + ToString(other->second));
    }
  }

  void CheckWeights() {
    std::map<kernel::service_name, std::int64_t> sums;
    for (const auto& [key, content] : rows_) {
      if (std::holds_alternative<service_row>(content)) {
        sums.try_emplace(kernel::service_name(key.name), 0);
      } else if (const auto* split = std::get_if<split_row>(&content)) {
        sums[SplitService(key)] += split->weight.value();
      }
    }
    for (const auto& [service, sum] : sums) {
      if (sum <= 0 && rows_.contains(KeyOf(service))) {
        Fault(KeyOf(service), "", "the weights of its splits sum to 0");
      }
    }
  }

  // Longest chain of calls that starts at a service, by depth-first search. Recursion ends at
  // kMaxCallDepth, so a hostile table can't exhaust the stack.
  int DepthFrom(const kernel::service_name& service, std::vector<kernel::service_name>& path) {
    if (const auto known = depths_.find(service); known != depths_.end()) return known->second;
    const auto* row = FindRow<service_row>(rows_, KeyOf(service));
    if (row == nullptr) return 0;
    if (std::find(path.begin(), path.end(), service) != path.end()) {
      if (cyclic_.insert(service).second) {
        Fault(KeyOf(service), "calls", "the service calls itself through other services");
      }
      return 0;
    }
    if (path.size() >= static_cast<std::size_t>(kMaxCallDepth)) {
      return kMaxCallDepth + 1;
    }
    path.push_back(service);
    int deepest = 0;
    for (const kernel::service_name& callee : row->calls) {
      deepest = std::max(deepest, DepthFrom(callee, path));
    }
    path.pop_back();
    const int depth = deepest + 1;
    depths_.emplace(service, depth);
    return depth;
  }

  void CheckCallDepth() {
    for (const auto& [key, content] : rows_) {
      if (!std::holds_alternative<service_row>(content)) continue;
      std::vector<kernel::service_name> path;
      if (DepthFrom(kernel::service_name(key.name), path) > kMaxCallDepth) {
        Fault(key, "calls", "the chain of calls is deeper than 32");
      }
    }
  }

  const row_map& rows_;
  std::vector<table_fault> faults_;
  std::map<std::string, row_key> prefixes_;
  std::map<kernel::service_name, int> depths_;
  std::set<kernel::service_name> cyclic_;
};

}  // namespace internal

std::vector<table_fault> Validate(const row_map& rows) { return internal::validator(rows).Run(); }

}  // namespace cornelweir::table
