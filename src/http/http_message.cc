#include "http/http_message.h"

#include <strings.h>

namespace monsoonmux {

std::string http_request::header(const std::string& name) const {
  for (const header_field& field : this->headers) {
    if (strcasecmp(field.name.c_str(), name.c_str()) == 0) {
      return field.value;
    }
  }
  return {};
}

std::string http_request::parameter(const std::string& name) const {
  std::size_t at = 0;
  while (at < this->query.size()) {
    const std::size_t end = std::min(this->query.find('&', at), this->query.size());
    const std::string item = this->query.substr(at, end - at);
    const std::size_t equals = item.find('=');
    if (item.substr(0, equals) == name) {
      return equals == std::string::npos ? "" : item.substr(equals + 1);
    }
    at = end + 1;
  }
  return {};
}

}  // namespace monsoonmux
