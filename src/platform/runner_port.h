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

// A call as it is sent to a runner.
struct runner_request {
  std::string call_id;  // Echoed by the runner; compared with the id in the answer.
  bool once = false;    // Must not be sent twice, whatever fails.
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

// Sends calls to runners. call() blocks the calling thread until the complete answer
// has arrived, the time-out expires or the connection breaks. Thread-safe.
class runner_port {
 public:
  virtual ~runner_port() = default;
  // Fails with not_run only if no byte of the request was sent, or if the runner
  // refused the request before processing it.
  virtual result<runner_answer> call(const runner_id& runner, const runner_request& request) = 0;
};

}  // namespace monsoonmux
