#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct table_verb {
  static constexpr std::string_view kName = "table";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "print the accepted table";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {"version"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(reply, FetchTable(context));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(reply));
      return exit_code::kOk;
    }
    context.out << "version " << reply.version.value() << "\n\n"
                << table_text::WriteText(RowsOf(reply));
    return exit_code::kOk;
  }
};

const verb_registration<table_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
