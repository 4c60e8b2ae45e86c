#include "http/single_sending.h"

#include <sys/socket.h>

namespace monsoonmux {
namespace {

// libcurl counts the bytes of all attempts of a transfer together.
bool was_sent(CURL* handle) {
  long sent = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0;
}

int before_request(void* handle, char*, char*, int, int) {
  return was_sent(static_cast<CURL*>(handle)) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

// Spares the peer a connection on which nothing would be sent.
curl_socket_t open_socket(void* handle, curlsocktype, curl_sockaddr* address) {
  if (was_sent(static_cast<CURL*>(handle))) {
    return CURL_SOCKET_BAD;
  }
  return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

}  // namespace

void send_at_most_once(CURL* handle) {
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, handle);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, handle);
}

}  // namespace monsoonmux
