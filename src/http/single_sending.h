#pragma once

#include <curl/curl.h>

namespace monsoonmux {

// Makes libcurl send the request of `handle` at most once. By itself it sends a request again when
// a connection that was used before closes before any byte of the answer; the peer may have
// executed the first one, so the answer to the second says nothing of it. Instead, such a
// transfer now fails. A request of which no byte was sent may still move to another connection.
//
// Sets the pre-request and open-socket callbacks of the handle.
void send_at_most_once(CURL* handle);

}  // namespace monsoonmux
