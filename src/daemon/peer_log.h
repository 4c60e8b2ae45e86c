#pragma once

#include "journal/log_follower.h"
#include "member/membership.h"
#include "wire/peer_link.h"

namespace monsoonmux {

// Log access through the other daemons: a read is sent to the live daemon that has
// applied the most log entries.
class peer_log final : public log_service {
 public:
  peer_log(const membership& members, const clock& time, daemon_id self)
      : members(members), time(time), self(std::move(self)) {}

  // The link is constructed after the daemon's other components, so it is set later.
  void set_link(peer_link* value) { this->link = value; }

  // Always fails: only the platform accepts appends.
  void append(std::string bytes, reply<log_offset> done) override;
  void read(log_offset from, reply<log_page> done) override;

  // Answers a read request of another daemon: with cached entries, or with a snapshot
  // of the replica if the cache does not reach back to the requested offset.
  static log_read_answer serve(const log_read_request& request, const log_follower& follower,
                               const replica& state, std::int64_t snapshot_number);

 private:
  const membership& members;
  const clock& time;
  const daemon_id self;
  peer_link* link = nullptr;
};

}  // namespace monsoonmux
