#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "http/http_client.h"
#include "platform/host_list.h"
#include "platform/runner_port.h"

namespace monsoonmux {

// Sends calls to runners over HTTP and keeps connections open for reuse. This daemon
// opens no more connections to a runner than it has calls to that runner at one
// time, so the dispatcher's limit of slots bounds the connections too.
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
