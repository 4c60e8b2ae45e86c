#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/peer_message.h"

namespace monsoonmux {

// The receiver's side of slot grants: what this daemon may use now.
//
// take() succeeds only under a grant that is valid by this daemon's clock. Safe
// to call from any thread.
class leased_slots {
 public:
  leased_slots(const clock& time, std::int64_t incarnation)
      : time(time), incarnation(incarnation) {}

  // Adopts a grant, unless it is for another incarnation of this daemon, older
  // than one adopted from the same placer, or from an earlier placer.
  void adopt(const slot_lease& lease);

  // Takes one slot of each subject, or none.
  bool acquire(const std::vector<std::string>& subjects);
  void release(const std::vector<std::string>& subjects);
  // Free slots of a subject; 0 without a valid grant.
  std::int32_t free(const std::string& subject) const;

  // For the heartbeat: the number of the newest grant, and per subject the
  // larger of what is granted and what is in use.
  std::int64_t newest_lease() const;
  epoch newest_placer() const;
  std::vector<slot_usage> held() const;
  std::int32_t in_use() const;
  // Promises not to use what is granted any more, for a graceful stop.
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
