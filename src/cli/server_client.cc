#include "cli/server_client.h"

namespace monsoonmux {

result<client_answer> server_client::send(const std::string& method, const std::string& path,
                                          const std::string& body,
                                          const std::vector<header_field>& headers,
                                          millis timeout) {
  failure last_failure = not_run(error_code::connection_failed, "no daemon is given; use --server");
  for (const std::string& server : this->servers) {
    client_request request;
    request.method = method;
    request.url = std::string("http://").append(server).append(path);
    request.headers = headers;
    if (!this->key.empty()) {
      request.headers.push_back({"Authorization", std::string("Bearer ").append(this->key)});
    }
    request.body = body;
    request.timeout = timeout;
    request.fresh_connection = true;
    auto answer = this->client.send(request);
    if (answer.has_value()) {
      return answer;
    }
    last_failure = answer.error();
    last_failure.detail.insert(0, server + ": ");
    if (last_failure.effect != verdict::not_run) {
      break;
    }
  }
  return last_failure;
}

}  // namespace monsoonmux
