#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/failure.h"
#include "base/ids.h"
#include "config/document.h"
#include "platform/runner_port.h"

namespace monsoonmux {

// One call submitted by a caller.
struct call_request {
  std::string id;  // Unique within the cell.
  team_id team;
  queue_id queue;
  pool_id pool;
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  bool idempotent = false;
  instant deadline;
};

// The complete answer to a call, with the runner that gave it and the number of tries.
struct call_answer {
  runner_answer answer;
  runner_id runner;
  int tries = 1;
};

}  // namespace monsoonmux
