#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "http/http_client.h"

namespace monsoonmux {

// Turns the answer to a platform request into a value. `read` gets the parsed
// JSON body and may throw nlohmann::json exceptions.
//
// A status from 400 to 499 is a refusal, which had no effect; any other that is
// not 200 may have had one.
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
    return may_have_run(error_code::unavailable, "status " + std::to_string(a.status));
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
