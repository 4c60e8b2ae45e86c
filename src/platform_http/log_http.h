#pragma once

#include <string>

#include "http/client_pool.h"
#include "platform/log_service.h"

namespace monsoonmux {

// Client of the platform's log over HTTP; docs/PLATFORM.md specifies the format.
class log_http final : public log_service {
 public:
  // `url` is the origin, such as http://127.0.0.1:7900.
  log_http(client_pool& clients, std::string url) : clients(clients), url(std::move(url)) {}

  void append(std::string bytes, reply<log_offset> done) override;
  void read(log_offset from, reply<log_page> done) override;

 private:
  client_pool& clients;
  const std::string url;
};

}  // namespace monsoonmux
