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

// One call of a caller, admitted and waiting for a runner.
struct call_request {
  std::string id;  // Unique in the cell.
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

// The runner's whole answer, and who gave it.
struct call_answer {
  runner_answer answer;
  runner_id runner;
  int tries = 1;
};

}  // namespace monsoonmux
