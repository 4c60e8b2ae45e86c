#include "standin/standin_log.h"

#include <sodium.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace monsoonmux {
namespace {

constexpr std::size_t max_page_bytes = 2 << 20;

std::string to_base64(const std::string& bytes) {
  std::string out(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();
  return out;
}

http_response unavailable() {
  return {503, "application/json", {}, "{}"};
}

}  // namespace

http_response standin_log::handle(const http_request& request) {
  if (this->faults.log_slow_ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(this->faults.log_slow_ms));
  }
  if (this->faults.log_down != 0) {
    return unavailable();
  }
  if (request.path == "/log/append") {
    const http_response answer = this->append(request.body);
    return this->faults.log_lose_answers != 0 ? unavailable() : answer;
  }
  const std::string from = request.parameter("from");
  return this->read(from.empty() ? 0 : std::stoll(from));
}

http_response standin_log::append(const std::string& bytes) {
  const std::lock_guard guard(this->lock);
  this->entries.push_back(bytes);
  const nlohmann::json body = {{"offset", this->entries.size() - 1}};
  return {200, "application/json", {}, body.dump()};
}

http_response standin_log::read(std::int64_t from) const {
  const std::lock_guard guard(this->lock);
  const std::size_t end = this->entries.size();
  const std::size_t first = end > this->retention ? end - this->retention : 0;
  std::size_t at = std::max(first, static_cast<std::size_t>(std::max<std::int64_t>(from, 0)));
  nlohmann::json body = {{"first_kept", first}, {"end", end}, {"from", at}};
  body["entries"] = nlohmann::json::array();
  std::size_t bytes = 0;
  for (; at < end && bytes < max_page_bytes; ++at) {
    body["entries"].push_back(to_base64(this->entries[at]));
    bytes += this->entries[at].size();
  }
  return {200, "application/json", {}, body.dump()};
}

std::size_t standin_log::appends() const {
  const std::lock_guard guard(this->lock);
  return this->entries.size();
}

}  // namespace monsoonmux
