#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "base/ids.h"
#include "base/quantity.h"

namespace monsoonmux {

struct http_header {
  std::string name;
  std::string value;
};

// One call as it goes to a runner.
struct runner_request {
  std::string call_id;  // Echoed by the runner; matched against the answer.
  bool once = false;    // Must not be sent twice, whatever happens.
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  millis timeout;
};

struct runner_answer {
  int status = 0;
  std::string call_id;
  std::string content_type;
  std::string body;
};

// Sends calls to runners. Blocks the calling thread until the answer is whole,
// the timeout passes or the connection breaks. Safe to call from any thread.
class runner_port {
 public:
  virtual ~runner_port() = default;
  // not_run only if no byte of the request was sent, or the runner refused it
  // before working on it.
  virtual result<runner_answer> call(const runner_id& runner, const runner_request& request) = 0;
};

}  // namespace monsoonmux
