#ifndef PROGRAMS_CORNELWEIRCTL_FETCH_H_
#define PROGRAMS_CORNELWEIRCTL_FETCH_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/table.h"
#include "programs/cornelweirctl/api/draft_reply.h"
#include "programs/cornelweirctl/api/table_reply.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/verb_context.h"

namespace cornelweir::ctl {

// The error for an answer that refuses a request, with the reason that the answer gives.
boost::leaf::error_id Refused(const api_reply& reply, const std::string& target);

// Asks for a document and decodes it.
template <class Reply>
boost::leaf::result<Reply> Fetch(verb_context& context, const std::string& target) {
  BOOST_LEAF_AUTO(answer, context.client.Get(target));
  if (answer.status != 200) return Refused(answer, target);
  Reply reply;
  BOOST_LEAF_CHECK(codec::FromJson(answer.body, reply, target));
  return reply;
}

// The accepted table, or the earlier version that the option --version names.
boost::leaf::result<table_reply> FetchTable(verb_context& context);

boost::leaf::result<draft_reply> FetchDraft(verb_context& context);

// The rows of a table or a draft by their keys.
template <class Reply>
table::row_map RowsOf(const Reply& reply) {
  table::row_map rows;
  for (const auto& row : reply.rows) rows.insert_or_assign(row.key, row.content);
  return rows;
}

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_FETCH_H_
