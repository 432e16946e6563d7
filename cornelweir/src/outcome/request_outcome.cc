#include "cornelweir/src/outcome/request_outcome.h"

#include <array>
#include <cstddef>

namespace cornelweir::outcome {
namespace internal {

constexpr std::array<std::string_view, 3> kOutcomeNames = {"ran", "not-run", "unknown"};
static_assert(static_cast<std::size_t>(request_outcome::kUnknown) + 1 == kOutcomeNames.size(),
              "every outcome needs a name");

}  // namespace internal

std::string_view OutcomeName(request_outcome outcome) {
  return internal::kOutcomeNames[static_cast<std::size_t>(outcome)];
}

bool ParseOutcome(std::string_view name, request_outcome& outcome) {
  for (std::size_t index = 0; index < internal::kOutcomeNames.size(); ++index) {
    if (internal::kOutcomeNames[index] != name) continue;
    outcome = static_cast<request_outcome>(index);
    return true;
  }
  return false;
}

}  // namespace cornelweir::outcome
