// Wraps a libcurl easy handle. The verdict on a failed request is derived from
// libcurl's count of the request bytes sent: if it is 0, the request cannot have
// run. TCP_USER_TIMEOUT closes a connection whose sent bytes stay unacknowledged,
// which distinguishes a broken network path from a peer that is only slow.

#include "http/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <mutex>

namespace monsoonmux {
namespace {

constexpr long connect_timeout_ms = 1'000;
constexpr unsigned tcp_user_timeout_ms = 1'500;
constexpr long max_idle_seconds = 20;

struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

std::once_flag global_init;

int set_socket_options(void*, curl_socket_t socket, curlsocktype) {
  const unsigned timeout = tcp_user_timeout_ms;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

struct receive_state {
  client_answer answer;
  std::size_t max_bytes = 0;
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto* r = static_cast<receive_state*>(user);
  if (r->answer.body.size() + size * count > r->max_bytes) {
    return 0;
  }
  r->answer.body.append(data, size * count);
  return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user) {
  auto* r = static_cast<receive_state*>(user);
  std::string line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.pop_back();
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string::npos) {
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    r->answer.headers.push_back(
        {line.substr(0, colon), value == std::string::npos ? "" : line.substr(value)});
  }
  return size * count;
}

std::int64_t transferred_bytes(CURL* h) {
  long head_out = 0;
  long head_in = 0;
  curl_off_t body_out = 0;
  curl_off_t body_in = 0;
  curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &head_out);
  curl_easy_getinfo(h, CURLINFO_HEADER_SIZE, &head_in);
  curl_easy_getinfo(h, CURLINFO_SIZE_UPLOAD_T, &body_out);
  curl_easy_getinfo(h, CURLINFO_SIZE_DOWNLOAD_T, &body_in);
  return head_out + head_in + body_out + body_in;
}

}  // namespace

std::string client_answer::header(const std::string& name) const {
  for (const header_field& field : this->headers) {
    if (strcasecmp(field.name.c_str(), name.c_str()) == 0) {
      return field.value;
    }
  }
  return {};
}

struct http_client::state {
  CURL* handle = nullptr;
};

http_client::http_client() : self(std::make_unique<state>()) {
  std::call_once(global_init, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

http_client::~http_client() {
  this->close();
}

void http_client::close() {
  if (this->self->handle != nullptr) {
    curl_easy_cleanup(this->self->handle);
    this->self->handle = nullptr;
  }
}

result<client_answer> http_client::send(const client_request& request) {
  if (this->self->handle == nullptr) {
    this->self->handle = curl_easy_init();
  }
  CURL* const h = this->self->handle;
  curl_easy_reset(h);
  std::unique_ptr<curl_slist, slist_deleter> headers;
  const auto add = [&headers](const std::string& line) {
    headers.reset(curl_slist_append(headers.release(), line.c_str()));
  };
  add("Expect:");
  for (const header_field& field : request.headers) {
    add(field.name + ": " + field.value);
  }
  receive_state r;
  r.max_bytes = request.max_answer_bytes;
  curl_easy_setopt(h, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(h, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(h, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(h, CURLOPT_MAXAGE_CONN, max_idle_seconds);
  curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, request.fresh_connection ? 1L : 0L);
  curl_easy_setopt(h, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.value));
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &r);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &r);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
      request.method == "PATCH") {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
  }
  const CURLcode code = curl_easy_perform(h);
  this->byte_count += transferred_bytes(h);
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
    r.answer.status = static_cast<int>(status);
    return std::move(r.answer);
  }
  long sent = 0;
  curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &sent);
  this->close();
  const std::string detail = curl_easy_strerror(code);
  if (sent == 0) {
    return not_run(error_code::connection_failed, detail);
  }
  return may_have_run(code == CURLE_OPERATION_TIMEDOUT ? error_code::deadline_exceeded
                                                       : error_code::connection_lost,
                      detail);
}

}  // namespace monsoonmux
