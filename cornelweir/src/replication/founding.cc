#include "cornelweir/src/replication/founding.h"

#include <algorithm>

namespace cornelweir::replication {

std::vector<kernel::host_id> InitialVoters(std::vector<kernel::host_id> seeds,
                                           std::size_t required_voters) {
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  if (seeds.size() > required_voters) seeds.resize(required_voters);
  if (!seeds.empty() && seeds.size() % 2 == 0) seeds.pop_back();
  return seeds;
}

}  // namespace cornelweir::replication
