#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "http/client_pool.h"
#include "platform/host_list.h"

namespace monsoonmux {

// Fetches the platform's list of hosts over HTTP; docs/PLATFORM.md specifies the
// format. Each request names the version in the cache (If-None-Match), so an
// unchanged list costs a few hundred bytes however many hosts there are.
class hosts_http final : public host_list {
 public:
  hosts_http(client_pool& clients, std::string url) : clients(clients), url(std::move(url)) {}

  void fetch(reply<host_snapshot> done) override;

 private:
  client_pool& clients;
  const std::string url;

  struct cached_list {
    std::mutex lock;
    std::string etag;
    host_snapshot value;
  };
  // Shared with callbacks that may run after this object is destroyed.
  std::shared_ptr<cached_list> cache = std::make_shared<cached_list>();
};

}  // namespace monsoonmux
