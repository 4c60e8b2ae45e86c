#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

// The slots that are currently leased to this daemon, and how many of them are in use.
//
// acquire() succeeds only while the newest lease is valid by this daemon's clock. Safe to call from
// any thread.
class leased_slots {
 public:
  leased_slots(const clock& time, std::int64_t incarnation)
      : time(time), incarnation(incarnation) {}

  // Adopts a lease, unless it was issued to another incarnation of this daemon, is not newer than
  // the last lease adopted from the same placer, or comes from an earlier placer.
  void adopt(const slot_lease& lease);

  // Acquires one slot of each subject, or none at all. Returns true if it acquired them.
  bool acquire(const std::vector<std::string>& subjects);
  void release(const std::vector<std::string>& subjects);
  // Number of free slots of a subject; 0 without a valid lease.
  std::int32_t free(const std::string& subject) const;

  // For the heartbeat: the number and the placer of the newest lease, and for each subject the
  // larger of the slots leased and the slots in use.
  std::int64_t newest_lease() const;
  epoch newest_placer() const;
  std::vector<slot_usage> held() const;
  // Number of calls in progress at runners; the slots of team limits are not counted.
  std::int32_t in_use() const;
  // Permanently gives up all leased slots that are not in use, for a graceful stop. Later leases
  // are adopted with no slots.
  void drain();

 private:
  struct entry {
    std::int32_t granted = 0;
    std::int32_t used = 0;
  };

  std::int32_t free_locked(const std::string& subject, std::int64_t now) const;

  const clock& time;
  const std::int64_t incarnation;
  mutable std::mutex lock;
  std::map<std::string, entry> entries;
  epoch placer;
  std::int64_t number = 0;
  std::int64_t valid_until = 0;
  bool draining = false;
};

}  // namespace monsoonmux
