// Runs libcurl's multi interface on Asio. curl reports which sockets to watch and when its
// next time-out is due; this file registers both with the event loop. A descriptor is
// released from Asio before curl closes it, since curl owns its sockets. Callbacks are
// posted to the loop instead of called from inside curl, which is not reentrant.

#include "async/http_transport.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/single_sending.h"

namespace monsoonmux::cell {
namespace {

constexpr std::size_t max_spare_handles = 32;
// Size of a request's receive buffer; most answers are smaller.
constexpr long buffer_bytes = 8 * 1024;
// TCP keep-alive: idle time before the first probe, and interval between probes.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;

std::once_flag global_init;

struct slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// A request in progress.
struct exchange {
  CURL* handle = nullptr;
  client_request request;
  client_answer answer;
  reply<client_answer> on_answer;
  std::unique_ptr<curl_slist, slist_deleter> headers;
  bool head_complete = false;  // The empty line after the answer's headers was received.
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user) {
  auto* e = static_cast<exchange*>(user);
  if (e->answer.body.size() + size * count > e->request.max_answer_bytes) {
    return 0;
  }
  e->answer.body.append(data, size * count);
  return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user) {
  auto* e = static_cast<exchange*>(user);
  std::string_view line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    e->head_complete = true;
  } else if (line.starts_with("HTTP/")) {
    e->head_complete = false;  // A final answer follows an interim one.
  }
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    e->answer.headers.push_back(
        {std::string(line.substr(0, colon)),
         value == std::string_view::npos ? "" : std::string(line.substr(value))});
  }
  return size * count;
}

}  // namespace

struct http_transport::state : std::enable_shared_from_this<http_transport::state> {
  state(asio::io_context& loop, metric_registry& registry, const transport_options& given)
      : io(loop), metrics(registry), options(given), timer(loop) {}

  asio::io_context& io;
  metric_registry& metrics;
  transport_options options;
  asio::steady_timer timer;
  CURLM* multi = nullptr;
  std::int64_t opened = 0;
  bool closed = false;
  struct watch {
    explicit watch(asio::io_context& io) : descriptor(io) {}
    asio::posix::stream_descriptor descriptor;
    int interest = 0;
    bool reading = false;
    bool writing = false;
  };
  std::unordered_map<curl_socket_t, std::shared_ptr<watch>> watches;
  std::unordered_set<exchange*> exchanges;
  std::vector<CURL*> spare_handles;

  static int socket_options(void* user, curl_socket_t socket, curlsocktype) {
    auto* s = static_cast<state*>(user);
    ++s->opened;
    const auto timeout = static_cast<unsigned>(s->options.unacknowledged_timeout.value);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    return CURL_SOCKOPT_OK;
  }

  static int on_socket(CURL*, curl_socket_t socket, int what, void* user, void*) {
    static_cast<state*>(user)->watch_socket(socket, what);
    return 0;
  }

  static int on_timer(CURLM*, long timeout_ms, void* user) {
    static_cast<state*>(user)->set_timer(timeout_ms);
    return 0;
  }

  void watch_socket(curl_socket_t socket, int what) {
    const auto found = this->watches.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (found != this->watches.end()) {
        found->second->interest = 0;
        found->second->descriptor.release();
        this->watches.erase(found);
      }
      return;
    }
    std::shared_ptr<watch> w;
    if (found == this->watches.end()) {
      w = std::make_shared<watch>(this->io);
      w->descriptor.assign(socket);
      this->watches.emplace(socket, w);
    } else {
      w = found->second;
    }
    w->interest = what;
    this->arm(socket, w);
  }

  void arm(curl_socket_t socket, const std::shared_ptr<watch>& w) {
    using descriptor = asio::posix::stream_descriptor;
    if ((w->interest & CURL_POLL_IN) != 0 && !w->reading) {
      w->reading = true;
      w->descriptor.async_wait(descriptor::wait_read, [self = this->shared_from_this(), socket,
                                                       w](asio::error_code error) {
        w->reading = false;
        self->socket_ready(socket, w, error, CURL_CSELECT_IN);
      });
    }
    if ((w->interest & CURL_POLL_OUT) != 0 && !w->writing) {
      w->writing = true;
      w->descriptor.async_wait(descriptor::wait_write, [self = this->shared_from_this(), socket,
                                                        w](asio::error_code error) {
        w->writing = false;
        self->socket_ready(socket, w, error, CURL_CSELECT_OUT);
      });
    }
  }

  void socket_ready(curl_socket_t socket, const std::shared_ptr<watch>& w, asio::error_code error,
                    int what) {
    const auto found = this->watches.find(socket);
    if (this->closed || found == this->watches.end() || found->second != w) {
      return;  // The socket was closed, or its number now belongs to another socket.
    }
    int running = 0;
    curl_multi_socket_action(this->multi, socket, error ? CURL_CSELECT_ERR : what, &running);
    this->collect_finished();
    const auto still = this->watches.find(socket);
    if (!this->closed && !error && still != this->watches.end() && still->second == w) {
      this->arm(socket, w);
    }
  }

  void set_timer(long timeout_ms) {
    this->timer.cancel();
    if (timeout_ms < 0) {
      return;
    }
    this->timer.expires_after(std::chrono::milliseconds(timeout_ms));
    this->timer.async_wait([self = this->shared_from_this()](asio::error_code error) {
      if (error || self->closed) {
        return;
      }
      int running = 0;
      curl_multi_socket_action(self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
      self->collect_finished();
    });
  }

  // Finishes the requests that curl reports as done.
  void collect_finished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      CURL* const handle = message->easy_handle;
      void* user = nullptr;
      curl_easy_getinfo(handle, CURLINFO_PRIVATE, &user);
      this->finish(static_cast<exchange*>(user), code);
    }
  }

  void count_bytes(CURL* handle) {
    long request_headers = 0;
    long answer_headers = 0;
    curl_off_t request_body = 0;
    curl_off_t answer_body = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_headers);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &answer_headers);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &request_body);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &answer_body);
    this->metrics.count("bytes_sent_" + this->options.name, request_headers + request_body);
    this->metrics.count("bytes_received_" + this->options.name, answer_headers + answer_body);
  }

  void finish(exchange* e, CURLcode code) {
    long status = 0;
    long sent = 0;
    curl_easy_getinfo(e->handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(e->handle, CURLINFO_REQUEST_SIZE, &sent);
    this->count_bytes(e->handle);
    curl_multi_remove_handle(this->multi, e->handle);
    this->recycle_handle(e->handle);
    this->exchanges.erase(e);
    std::unique_ptr<exchange> done(e);
    // curl takes an answer that ends inside its head for a complete one.
    if (code == CURLE_OK && done->head_complete) {
      done->answer.status = static_cast<int>(status);
      asio::post(this->io,
                 [on_answer = std::move(done->on_answer),
                  answer = std::move(done->answer)]() mutable { on_answer(std::move(answer)); });
      return;
    }
    const std::string detail =
        code == CURLE_OK ? "the answer ended inside its head" : curl_easy_strerror(code);
    const error_code reason = code == CURLE_OPERATION_TIMEDOUT ? error_code::deadline_exceeded
                                                               : error_code::connection_lost;
    failure f =
        sent == 0 ? not_run(error_code::connection_failed, detail) : may_have_run(reason, detail);
    asio::post(this->io, [on_answer = std::move(done->on_answer), f = std::move(f)]() mutable {
      on_answer(std::move(f));
    });
  }

  void recycle_handle(CURL* handle) {
    if (this->spare_handles.size() < max_spare_handles) {
      this->spare_handles.push_back(handle);
    } else {
      curl_easy_cleanup(handle);
    }
  }

  CURL* acquire_handle() {
    if (this->spare_handles.empty()) {
      return curl_easy_init();
    }
    CURL* const handle = this->spare_handles.back();
    this->spare_handles.pop_back();
    curl_easy_reset(handle);
    return handle;
  }
};

http_transport::http_transport(asio::io_context& io, metric_registry& metrics,
                               const transport_options& options)
    : self(nullptr) {
  std::call_once(global_init, [] { curl_global_init(CURL_GLOBAL_NOTHING); });
  // Handlers that are still queued in the event loop share ownership of the state.
  auto shared = std::make_shared<state>(io, metrics, options);
  shared->multi = curl_multi_init();
  curl_multi_setopt(shared->multi, CURLMOPT_SOCKETFUNCTION, &state::on_socket);
  curl_multi_setopt(shared->multi, CURLMOPT_SOCKETDATA, shared.get());
  curl_multi_setopt(shared->multi, CURLMOPT_TIMERFUNCTION, &state::on_timer);
  curl_multi_setopt(shared->multi, CURLMOPT_TIMERDATA, shared.get());
  curl_multi_setopt(shared->multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.connections_per_peer);
  curl_multi_setopt(shared->multi, CURLMOPT_MAXCONNECTS, options.max_idle_connections);
  this->self = std::move(shared);
}

http_transport::~http_transport() {
  this->self->closed = true;
  this->self->timer.cancel();
  for (exchange* e : this->self->exchanges) {
    curl_multi_remove_handle(this->self->multi, e->handle);
    curl_easy_cleanup(e->handle);
    delete e;
  }
  for (CURL* handle : this->self->spare_handles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(this->self->multi);
}

void http_transport::send(client_request request, reply<client_answer> on_answer) {
  auto owned = std::make_unique<exchange>();
  exchange* const e = owned.release();
  e->request = std::move(request);
  e->on_answer = std::move(on_answer);
  e->handle = this->self->acquire_handle();
  const auto add = [e](const std::string& line) {
    e->headers.reset(curl_slist_append(e->headers.release(), line.c_str()));
  };
  add("Expect:");
  add("Accept:");
  for (const header_field& field : e->request.headers) {
    add(field.name + ": " + field.value);
  }
  CURL* const h = e->handle;
  curl_easy_setopt(h, CURLOPT_PRIVATE, e);
  curl_easy_setopt(h, CURLOPT_URL, e->request.url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, e->request.method.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, e->headers.get());
  curl_easy_setopt(h, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(h, CURLOPT_BUFFERSIZE, buffer_bytes);
  curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(h, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(h, CURLOPT_TCP_KEEPIDLE, static_cast<long>(keepalive_idle_s));
  curl_easy_setopt(h, CURLOPT_TCP_KEEPINTVL, static_cast<long>(keepalive_interval_s));
  curl_easy_setopt(h, CURLOPT_SOCKOPTFUNCTION, &state::socket_options);
  curl_easy_setopt(h, CURLOPT_SOCKOPTDATA, this->self.get());
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(this->self->options.connect_timeout.value));
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, static_cast<long>(e->request.timeout.value));
  curl_easy_setopt(h, CURLOPT_LOW_SPEED_LIMIT, 1L);  // Bytes per second.
  curl_easy_setopt(h, CURLOPT_LOW_SPEED_TIME, this->self->options.stalled_after_s);
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, e);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, e);
  if (e->request.method != "GET") {
    send_at_most_once(h);
  }
  if (e->request.method == "POST") {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, e->request.body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, static_cast<long>(e->request.body.size()));
  }
  this->self->exchanges.insert(e);
  curl_multi_add_handle(this->self->multi, h);
}

std::int64_t http_transport::connections_opened() const {
  return this->self->opened;
}

}  // namespace monsoonmux::cell
