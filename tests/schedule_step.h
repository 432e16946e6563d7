#ifndef CORNELWEIR_TESTS_SCHEDULE_STEP_H_
#define CORNELWEIR_TESTS_SCHEDULE_STEP_H_

#include <rapidcheck.h>

#include <cstdint>
#include <ostream>
#include <utility>

namespace cornelweir {

// A step of a random schedule of faults. Action is an enumeration that ends with kCount.
template <class Action>
struct schedule_step {
  Action kind{};
  std::uint32_t host = 0;
  std::uint32_t detail = 0;
  std::uint32_t wait_ms = 0;
};

template <class Action>
std::ostream& operator<<(std::ostream& out, const schedule_step<Action>& printed) {
  return out << "{" << static_cast<int>(printed.kind) << "," << printed.host << ","
             << printed.detail << "," << printed.wait_ms << "}";
}

template <class Action>
rc::Gen<Action> AnyAction() {
  return rc::gen::map(rc::gen::inRange(0, static_cast<int>(Action::kCount)),
                      [](int number) { return static_cast<Action>(number); });
}

// Steps at one of the given number of hosts.
template <class Action>
rc::Gen<schedule_step<Action>> AnyStep(rc::Gen<Action> kind, std::uint32_t hosts,
                                       rc::Gen<std::uint32_t> wait_ms) {
  using step = schedule_step<Action>;
  return rc::gen::build<step>(rc::gen::set(&step::kind, std::move(kind)),
                              rc::gen::set(&step::host, rc::gen::inRange<std::uint32_t>(0, hosts)),
                              rc::gen::set(&step::detail, rc::gen::inRange<std::uint32_t>(0, 30)),
                              rc::gen::set(&step::wait_ms, std::move(wait_ms)));
}

}  // namespace cornelweir

#endif  // CORNELWEIR_TESTS_SCHEDULE_STEP_H_
