#include <string>

#include "programs/cornelweirctl/command_options.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

std::string CommonWords() {
  std::string words;
  for (const std::string& name : OptionNames(CommonOptions())) {
    words += " --" + name;
  }
  return words;
}

// Words of a verb's usage in lower case are typed as they stand.
std::string VerbWords(const verb_registry::entry& verb) {
  std::string words;
  std::string word;
  for (const char c : std::string(verb.arguments) + " ") {
    if (c >= 'a' && c <= 'z') {
      word += c;
    } else if (c == ' ') {
      if (!word.empty()) words += " " + word;
      word.clear();
    }
  }
  for (const std::string_view option : verb.options) words += " --" + std::string(option);
  return words;
}

std::string VerbNames() {
  std::string names;
  for (const auto& verb : verb_registry::Instance().entries()) {
    names += " " + std::string(verb.name);
  }
  return names;
}

struct completion_verb {
  static constexpr std::string_view kName = "completion";
  static constexpr std::string_view kArguments = "bash";
  static constexpr std::string_view kSummary = "print a completion script for a shell";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    if (context.arguments[0] != "bash") {
      return boost::leaf::new_error(
          ctl_error{exit_code::kUsage, "completion is only written for bash"});
    }
    context.out << "# Load with: source <(cornelweirctl completion bash)\n"
                   "_cornelweirctl() {\n"
                   "  local word=${COMP_WORDS[COMP_CWORD]} words='"
                << CommonWords() << "'\n  case ${COMP_WORDS[1]} in\n";
    for (const auto& verb : verb_registry::Instance().entries()) {
      context.out << "    " << verb.name << ") words+=' " << VerbWords(verb) << "' ;;\n";
    }
    context.out << "  esac\n"
                   "  [ \"$COMP_CWORD\" -eq 1 ] && words='"
                << VerbNames()
                << "'\n"
                   "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$word\")\n"
                   "}\n"
                   "complete -o default -F _cornelweirctl cornelweirctl\n";
    return exit_code::kOk;
  }
};

const verb_registration<completion_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
