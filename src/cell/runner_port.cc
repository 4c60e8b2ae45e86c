#include "cell/runner_port.h"

namespace monsoonmux::cell {

std::string_view to_string(command_status status) {
  switch (status) {
    case command_status::done:
      return "done";
    case command_status::fenced:
      return "fenced";
    case command_status::stale_run:
      return "old_run";
    case command_status::lease_expired:
      return "late";
    case command_status::no_capacity:
      return "no_room";
    case command_status::no_ticket:
      return "no_ticket";
    case command_status::refused:
      return "refused";
    case command_status::other_instance:
      return "other_instance";
    case command_status::not_sent:
      return "not_sent";
    case command_status::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace monsoonmux::cell
