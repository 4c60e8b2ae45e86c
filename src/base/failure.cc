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
      return "the request carries no valid key";
    case error_code::forbidden:
      return "the key's team is not permitted to do this";
    case error_code::not_found:
      return "the object does not exist";
    case error_code::conflict:
      return "the base version is not the current one";
    case error_code::too_large:
      return "the request exceeds a size limit";
    case error_code::overloaded:
      return "a bounded queue is full";
    case error_code::deadline_exceeded:
      return "the deadline passed";
    case error_code::unavailable:
      return "a required service is unavailable";
    case error_code::refused:
      return "the peer refused the operation";
    case error_code::connection_failed:
      return "the connection could not be established";
    case error_code::connection_lost:
      return "the connection was lost before the complete answer arrived";
    case error_code::malformed_answer:
      return "the answer is malformed";
    case error_code::unsatisfiable:
      return "the job can never run in this cell";
    case error_code::shutting_down:
      return "the daemon is shutting down";
  }
  return "unknown error";
}

}  // namespace monsoonmux
