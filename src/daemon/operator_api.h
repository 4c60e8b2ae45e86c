#pragma once

#include "daemon/caller_identity.h"

namespace monsoonmux {

// Handles operators' requests: the configuration and views of the cell; see
// docs/API.md. Every request needs the operator key.
class operator_api {
 public:
  explicit operator_api(node_core& core) : core(core) {}

  // True if the path is that of an operator request.
  static bool matches(const std::string& path);
  void handle(const http_request& request, const http_respond& respond);

 private:
  http_response view(const http_request& request);
  void patch(const http_request& request, const http_respond& respond);
  void on_patch_outcome(const record_outcome& outcome, config_version base,
                        const http_respond& respond);
  http_response runners() const;

  node_core& core;
};

}  // namespace monsoonmux
