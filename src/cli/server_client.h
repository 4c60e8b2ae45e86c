#pragma once

#include <string>
#include <vector>

#include "http/http_client.h"

namespace monsoonmux {

// Sends each request to the first reachable daemon of a list. A request is sent to the
// next daemon only if the previous one has certainly not run it.
class server_client {
 public:
  server_client(std::vector<std::string> servers, std::string key)
      : servers(std::move(servers)), key(std::move(key)) {}

  result<client_answer> send(const std::string& method, const std::string& path,
                             const std::string& body = "",
                             const std::vector<header_field>& headers = {},
                             millis timeout = millis{30'000});
  const std::vector<std::string>& addresses() const { return this->servers; }

 private:
  std::vector<std::string> servers;
  std::string key;
  http_client client;
};

}  // namespace monsoonmux
