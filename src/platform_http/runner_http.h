#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "http/http_client.h"
#include "platform/host_list.h"
#include "platform/runner_port.h"

namespace monsoonmux {

// Runners over HTTP, with kept connections. No runner gets more connections from
// this daemon than calls at one time, so the router's slots bound them too.
class runner_http final : public runner_port {
 public:
  void set_hosts(const std::vector<runner_host>& hosts);
  result<runner_answer> call(const runner_id& runner, const runner_request& request) override;

 private:
  struct channel {
    std::string address;
    std::vector<std::unique_ptr<http_client>> idle;
  };

  std::mutex lock;
  std::map<runner_id, channel> channels;
};

}  // namespace monsoonmux
