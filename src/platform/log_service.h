#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"

namespace monsoonmux {

struct log_entry {
  log_offset offset;
  std::string bytes;
};

// Offset of entries that are part of a snapshot that one daemon made for another;
// see log_follower.
constexpr log_offset snapshot_offset{-1};

// A sequence of consecutive entries.
struct log_page {
  std::vector<log_entry> entries;
  log_offset first_kept;  // Entries before this offset have expired.
  log_offset end;         // One past the newest entry.
};

// The platform's append-only log.
//
// The log accepts a few hundred appends per second, retains entries for a limited
// time, and has long outages. An append that fails with may_have_run may have taken
// effect, or may still take effect later.
class log_service {
 public:
  virtual ~log_service() = default;

  // Replies with the offset of the new entry.
  virtual void append(std::string bytes, reply<log_offset> done) = 0;
  // Reads from `from`, or from the oldest retained entry if that is later.
  virtual void read(log_offset from, reply<log_page> done) = 0;
};

}  // namespace monsoonmux
