#include "cornelweir/src/policy/workspace_index.h"

#include <xxhash.h>

#include <cstddef>

namespace cornelweir::policy {
namespace {

std::uint64_t HashOf(std::string_view key, std::uint64_t seed) {
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

// Compares in a time that depends only on the lengths.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  volatile unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference = difference | static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^
                                                    static_cast<unsigned char>(right[i]));
  }
  return difference == 0;
}

}  // namespace

workspace_index::workspace_index(const policy_table& table, std::uint64_t seed) : seed_(seed) {
  for (const workspace& holder : table.workspaces) {
    for (const kernel::api_key& key : holder.keys) {
      keys_.emplace(HashOf(key.value(), seed_), key_entry{&key, &holder});
    }
  }
}

const workspace* workspace_index::Find(std::string_view key) const {
  const auto [begin, end] = keys_.equal_range(HashOf(key, seed_));
  for (auto candidate = begin; candidate != end; ++candidate) {
    const key_entry& entry = candidate->second;
    if (EqualInConstantTime(entry.key->value(), key)) return entry.holder;
  }
  return nullptr;
}

}  // namespace cornelweir::policy
