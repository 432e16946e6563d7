#ifndef CORNELWEIR_SRC_KERNEL_RANDOM_SOURCE_H_
#define CORNELWEIR_SRC_KERNEL_RANDOM_SOURCE_H_

#include <concepts>
#include <cstdint>
#include <random>

namespace cornelweir::kernel {

// A generator of random 64-bit numbers.
template <class T>
concept random_source = requires(T& random) {
  { random.NextU64() } -> std::same_as<std::uint64_t>;
};

// A deterministic generator: the seed determines the sequence.
class seeded_random {
 public:
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t NextU64() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

static_assert(random_source<seeded_random>);

// Returns a number in [0, bound), or 0 if bound is 0. The modulo bias is below 2^-32 for the bounds
// used here.
template <random_source Random>
std::uint64_t UniformBelow(Random& random, std::uint64_t bound) {
  return bound == 0 ? 0 : random.NextU64() % bound;
}

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_RANDOM_SOURCE_H_
