#pragma once

#include <boost/outcome.hpp>
#include <functional>
#include <string>

#include "base/verdict.h"

namespace monsoonmux {

enum class error_code {
  bad_request,
  unauthorized,
  forbidden,
  not_found,
  conflict,
  too_large,
  overloaded,
  deadline_exceeded,
  unavailable,
  refused,
  connection_failed,
  connection_lost,
  malformed_answer,
  unsatisfiable,
  shutting_down,
};

// A human-readable description of one line, different for each code.
std::string_view to_string(error_code code);

// Why an operation failed, and whether it may have taken effect.
struct failure {
  error_code code = error_code::unavailable;
  verdict effect = verdict::not_run;
  std::string detail;
};

// A value or a failure. Example:
//
//   result<int> parse(std::string_view text);
//   if (auto r = parse("7"); r.has_value()) { use(r.value()); }
template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, failure>;

// Callback of an asynchronous operation; called exactly once, with its result.
template <class T>
using reply = std::function<void(result<T>)>;

inline failure not_run(error_code code, std::string detail) {
  return {code, verdict::not_run, std::move(detail)};
}
inline failure may_have_run(error_code code, std::string detail) {
  return {code, verdict::may_have_run, std::move(detail)};
}

}  // namespace monsoonmux
