#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "http/http_client.h"

namespace monsoonmux {

// Converts the answer to a platform request to a value. `read` receives the parsed
// JSON body and may throw nlohmann::json exceptions.
//
// With a status from 400 to 499 the request was refused and had no effect; with any
// other status than 200 it may have had an effect.
template <class T, class Read>
result<T> read_json(const result<client_answer>& answer, Read read) {
  if (answer.has_error()) {
    return answer.error();
  }
  const client_answer& a = answer.value();
  if (a.status >= 400 && a.status < 500) {
    return not_run(error_code::refused, a.body);
  }
  if (a.status != 200) {
    return may_have_run(error_code::unavailable, "HTTP status " + std::to_string(a.status));
  }
  try {
    return read(nlohmann::json::parse(a.body));
  } catch (const nlohmann::json::exception& error) {
    return may_have_run(error_code::malformed_answer, error.what());
  }
}

inline client_request json_post(std::string url, const nlohmann::json& body, millis timeout) {
  client_request request;
  request.method = "POST";
  request.url = std::move(url);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body.dump();
  request.timeout = timeout;
  return request;
}

}  // namespace monsoonmux
