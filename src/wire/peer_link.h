#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/logical_clock.h"
#include "config/settings.h"
#include "wire/sealer.h"

namespace monsoonmux {

// Messages between daemons over UDP, and requests with an answer over TCP, on
// one port and one thread of its own.
//
// Datagrams may be lost; those that are forged, malformed or replayed are
// dropped and counted. A TCP request and its answer are each one sealed message
// behind a length of four bytes. Throws std::runtime_error if the port cannot be
// opened.
class peer_link {
 public:
  using on_datagram = std::function<void(const peer_message&)>;
  // Answers a TCP request; called on the link's thread.
  using on_request = std::function<peer_body(const peer_message&)>;

  peer_link(const endpoint& listen, daemon_id self, std::int64_t incarnation, sealer& seals,
            logical_clock& logical, on_datagram datagram, on_request request);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  // Sends a datagram. Never blocks; safe from any thread.
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
