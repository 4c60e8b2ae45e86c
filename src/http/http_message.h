#pragma once

#include <functional>
#include <string>
#include <vector>

namespace monsoonmux {

struct header_field {
  std::string name;
  std::string value;
};

// A request as the server passes it to the handler. `path` excludes the query.
struct http_request {
  std::string method;
  std::string path;
  std::string query;
  std::vector<header_field> headers;
  std::string body;

  // The value of the header, whose name is compared case-insensitively; empty if
  // the header is missing.
  std::string header(const std::string& name) const;
  // The value of a query parameter, without percent-decoding; empty if it is missing.
  std::string parameter(const std::string& name) const;
};

struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<header_field> headers;
  std::string body;
};

// Sends the response. May be called from any thread, but only once.
using http_respond = std::function<void(http_response)>;
// Handles one request. Must not block for long; the response may be sent after the
// handler has returned.
using http_handler = std::function<void(http_request, http_respond)>;

}  // namespace monsoonmux
