#pragma once

#include "daemon/caller_identity.h"

namespace monsoonmux {

// Handles calls to queues: any method on /v1/queues/{queue}/calls/{path}; see
// docs/API.md.
class call_api {
 public:
  explicit call_api(node_core& core) : core(core) {}

  // True if the path is that of a call.
  static bool matches(const std::string& path);
  void handle(const http_request& request, const http_respond& respond);

 private:
  node_core& core;
  std::atomic<std::int64_t> next_call{0};
};

}  // namespace monsoonmux
