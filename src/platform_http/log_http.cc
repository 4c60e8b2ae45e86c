#include "platform_http/log_http.h"

#include <sodium.h>

#include "platform_http/json_reply.h"

namespace monsoonmux {
namespace {

constexpr millis append_timeout{4'000};
constexpr millis read_timeout{4'000};

std::string from_base64(const std::string& text) {
  std::string out(text.size(), '\0');
  std::size_t size = 0;
  const int bad =
      sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
                        text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  out.resize(bad == 0 ? size : 0);
  return out;
}

log_page read_page(const nlohmann::json& body) {
  log_page page;
  page.first_kept.value = body.at("first_kept");
  page.end.value = body.at("end");
  std::int64_t offset = body.at("from");
  for (const auto& entry : body.at("entries")) {
    page.entries.push_back({{offset++}, from_base64(entry.get<std::string>())});
  }
  return page;
}

}  // namespace

void log_http::append(std::string bytes, reply<log_offset> done) {
  client_request request;
  request.method = "POST";
  request.url = this->url + "/log/append";
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = std::move(bytes);
  request.timeout = append_timeout;
  this->clients.send(std::move(request), nullptr, [done](const result<client_answer>& answer) {
    done(read_json<log_offset>(answer, [](const nlohmann::json& body) {
      return log_offset{body.at("offset").get<std::int64_t>()};
    }));
  });
}

void log_http::read(log_offset from, reply<log_page> done) {
  client_request request;
  request.url = this->url + "/log/entries?from=" + std::to_string(from.value);
  request.timeout = read_timeout;
  this->clients.send(std::move(request), nullptr, [done](const result<client_answer>& answer) {
    done(read_json<log_page>(answer, read_page));
  });
}

}  // namespace monsoonmux
