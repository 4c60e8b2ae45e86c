#pragma once

#include <string>

#include "http/client_pool.h"
#include "platform/host_list.h"

namespace monsoonmux {

// The platform's list of hosts over HTTP; docs/PLATFORM.md gives the format.
class hosts_http final : public host_list {
 public:
  hosts_http(client_pool& clients, std::string url) : clients(clients), url(std::move(url)) {}

  void fetch(reply<host_snapshot> done) override;

 private:
  client_pool& clients;
  const std::string url;
};

}  // namespace monsoonmux
