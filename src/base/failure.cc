#include "base/failure.h"

namespace monsoonmux {

std::string_view to_string(verdict value) {
  switch (value) {
    case verdict::not_run:
      return "not_run";
    case verdict::may_have_run:
      return "may_have_run";
    case verdict::answered:
      return "answered";
  }
  return "may_have_run";
}

std::string_view to_string(error_code code) {
  switch (code) {
    case error_code::bad_request:
      return "the request is malformed";
    case error_code::unauthorized:
      return "no valid key came with the request";
    case error_code::forbidden:
      return "the key's team may not do this";
    case error_code::not_found:
      return "no such thing";
    case error_code::conflict:
      return "the base version is not the current one";
    case error_code::too_large:
      return "the request exceeds a size limit";
    case error_code::overloaded:
      return "a bounded queue is full";
    case error_code::deadline_exceeded:
      return "the deadline passed";
    case error_code::unavailable:
      return "a service that this needs is unavailable";
    case error_code::refused:
      return "the other side refused the operation";
    case error_code::connection_failed:
      return "no connection could be made";
    case error_code::connection_lost:
      return "the connection broke before the whole answer came";
    case error_code::malformed_answer:
      return "the answer could not be understood";
    case error_code::unsatisfiable:
      return "the job can never run in this cell";
    case error_code::shutting_down:
      return "the daemon is shutting down";
  }
  return "unknown error";
}

}  // namespace monsoonmux
