#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/logical_clock.h"
#include "config/settings.h"
#include "wire/sealer.h"

namespace monsoonmux {

// Exchanges messages between daemons: datagrams over UDP, and requests with an
// answer over TCP. Both use the same port and a thread that belongs to the link.
//
// Datagrams can be lost; forged, malformed and replayed ones are dropped and
// counted. A TCP request and its answer are one sealed message each, preceded by its
// length in four bytes. The constructor throws std::runtime_error if the port cannot
// be opened.
class peer_link {
 public:
  // Called on the link's thread.
  using on_datagram = std::function<void(const peer_message&)>;
  // Answers a TCP request; called on the link's thread.
  using on_request = std::function<peer_body(const peer_message&)>;

  peer_link(const endpoint& listen, daemon_id self, std::int64_t incarnation, sealer& seals,
            logical_clock& logical, on_datagram datagram, on_request request);
  ~peer_link();
  // Starts the link's thread. Until then nothing is received, so that the callbacks may use
  // the object that owns the link. Call once.
  void start();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  // Sends a datagram; a message above the maximum size of a datagram is dropped. Never
  // blocks; safe to call from any thread.
  void send(const endpoint& to, peer_body body);
  // Sends a request over a new TCP connection; `done` is called on the link's
  // thread.
  void send_request(const endpoint& to, peer_body body, const reply<peer_body>& done);

  std::int64_t sent_bytes() const;
  std::int64_t received_bytes() const;
  std::int64_t dropped() const;

 private:
  struct state;
  std::shared_ptr<state> self;
};

}  // namespace monsoonmux
