#pragma once

#include <map>
#include <mutex>
#include <string>

#include "base/failure.h"
#include "wire/peer_message.h"

namespace monsoonmux {

// Encodes and authenticates messages between daemons.
//
// A message is preceded by an HMAC under the cell's shared secret. If the HMAC does
// not match, open() fails without decoding the message. For messages that must not
// be replayed, accept_if_newer() returns whether a message is newer than all earlier
// ones from its sender, and records it if so. Safe to call from any thread.
class sealer {
 public:
  explicit sealer(const std::string& secret);

  std::string seal(const peer_message& message) const;
  result<peer_message> open(const std::string& bytes) const;
  bool accept_if_newer(const peer_message& message);

 private:
  struct newest_sequence {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
  };

  std::string key;
  std::mutex lock;
  std::map<daemon_id, newest_sequence> newest;
};

}  // namespace monsoonmux
