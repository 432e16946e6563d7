#ifndef PROGRAMS_CORNELWEIRCTL_VERB_REGISTRY_H_
#define PROGRAMS_CORNELWEIRCTL_VERB_REGISTRY_H_

#include <algorithm>
#include <boost/leaf.hpp>
#include <concepts>
#include <cstddef>
#include <string_view>
#include <vector>

#include "programs/cornelweirctl/exit_code.h"
#include "programs/cornelweirctl/verb_context.h"

namespace cornelweir::ctl {

// A command of the program. kOptions lists the options, other than the common ones, that the verb
// takes; kMostArguments is kAnyNumber if its last argument may be repeated.
template <class T>
concept verb = requires(verb_context& context) {
  { T::kName } -> std::convertible_to<std::string_view>;
  { T::kArguments } -> std::convertible_to<std::string_view>;
  { T::kSummary } -> std::convertible_to<std::string_view>;
  { T::kLeastArguments } -> std::convertible_to<std::size_t>;
  { T::kMostArguments } -> std::convertible_to<std::size_t>;
  { T::Options() } -> std::convertible_to<std::vector<std::string_view>>;
  { T::Run(context) } -> std::same_as<boost::leaf::result<exit_code>>;
};

inline constexpr std::size_t kAnyNumber = static_cast<std::size_t>(-1);

// The verbs that are linked into the program, by name. Filled before main() by verb_registration
// objects.
class verb_registry {
 public:
  struct entry {
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t least_arguments;
    std::size_t most_arguments;
    std::vector<std::string_view> options;
    boost::leaf::result<exit_code> (*run)(verb_context&);
  };

  static verb_registry& Instance() {
    static verb_registry registry;
    return registry;
  }

  // Keeps the order of names, since the order of registration is that of the linker.
  void Add(entry added) {
    const auto place =
        std::lower_bound(entries_.begin(), entries_.end(), added,
                         [](const entry& a, const entry& b) { return a.name < b.name; });
    entries_.insert(place, std::move(added));
  }

  const entry* Find(std::string_view name) const {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const entry& each) { return each.name == name; });
    return found == entries_.end() ? nullptr : &*found;
  }

  const std::vector<entry>& entries() const { return entries_; }

 private:
  std::vector<entry> entries_;
};

// Registers the verb T. One namespace-scope object of this type in the verb's own source file is
// all that the program needs to know it.
template <verb T>
class verb_registration {
 public:
  verb_registration() {
    verb_registry::Instance().Add({T::kName, T::kArguments, T::kSummary, T::kLeastArguments,
                                   T::kMostArguments, T::Options(), &T::Run});
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_VERB_REGISTRY_H_
