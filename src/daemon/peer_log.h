#pragma once

#include "journal/log_follower.h"
#include "member/membership.h"
#include "wire/peer_link.h"

namespace monsoonmux {

// The log as other daemons know it: reads ask a live daemon that is ahead.
class peer_log final : public log_service {
 public:
  peer_log(const membership& members, const clock& time, daemon_id self)
      : members(members), time(time), self(std::move(self)) {}

  // The link needs the daemon's other parts first, so it is set after them.
  void set_link(peer_link* value) { this->link = value; }

  // Appends go to the platform only.
  void append(std::string bytes, reply<log_offset> done) override;
  void read(log_offset from, reply<log_page> done) override;

  // The answer to another daemon's read.
  static log_read_answer serve(const log_read_request& pull, const log_follower& follower,
                               const replica& state, std::int64_t snapshot_number);

 private:
  const membership& members;
  const clock& time;
  const daemon_id self;
  peer_link* link = nullptr;
};

}  // namespace monsoonmux
