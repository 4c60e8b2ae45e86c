#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/log_follower.h"
#include "cell/shared_log.h"
#include "cell/timer.h"
#include "cell/topics.h"

namespace monsoonmux::cell {

struct ownership_options {
  daemon_id self;
  std::string peer_address;
  std::uint16_t peer_port = 0;
  millis renew_every{250};
  // Silence of the owner, in a log that answers and among the daemons, after which
  // others claim.
  millis claim_after{600};
  // The same while the owner's beats still arrive: it is only the log that is slow
  // for it.
  millis claim_after_beats{1'500};
  // Between two reads of the claims while beats say the same.
  millis read_interval{900};
  // Beats come every 100 ms; after this without one the owner counts as silent.
  millis beat_silence{400};
  // Candidates spread over this time, so that one claim meets no other.
  millis stagger{150};
  // After its last renewal an owner gives orders no longer than this. Its
  // successor counts on it for runners that it cannot reach.
  millis orders_after_renewal{3'500};
};

// Who gives orders: the daemon whose claim is the newest record of its topic.
//
// A claim is appended only if the topic still ends where the claimant read it to
// end, so of two claimants one wins, and its epoch is higher than any before. The
// owner renews its claim in the same way. Nobody needs a clock in common: silence
// is measured by each candidate, only while the log answers.
class ownership {
 public:
  struct handlers {
    std::function<void(epoch)> on_gained;
    std::function<void(const std::string& why)> on_lost;
    // True if this daemon could take over at once. One that has just started has the
    // log to read first; another is better then.
    std::function<bool()> may_claim;
    // How much longer than others this daemon lets an owner be silent before it claims.
    std::function<millis()> handicap;
  };

  ownership(event_loop& io, shared_log& log, const clock& time, event_log& events,
            const ownership_options& options, handlers on);
  ~ownership();
  ownership(const ownership&) = delete;
  ownership& operator=(const ownership&) = delete;

  void start();
  bool owner() const { return this->is_owner; }
  // True while orders may still be given under this claim.
  bool may_order() const;
  // A former owner gave no order after this; known at the gain of ownership.
  instant former_orders_until() const { return this->former_until; }
  // The owner of this epoch says that it is alive and reaches the log.
  void beat(epoch entry_for);
  bool hears_beats() const {
    return this->time.now() - this->last_beat < this->options.beat_silence;
  }
  // True if the claim was renewed lately: the owner reaches the log.
  bool renewed_within(millis age) const {
    return this->is_owner && this->time.now() - this->renewed <= age;
  }
  // When the log last answered a read of the claims.
  instant last_contact() const { return this->follower.last_contact(); }
  // The newest claim; nothing if there was none yet.
  const std::optional<leader_claim>& newest() const { return this->claim; }
  // Asks for a successor, and goes on as the owner until there is one; `on_done` is
  // called then.
  void resign(std::function<void()> on_done);
  // The epoch is known to be over, from another source than the topic.
  void lose(const std::string& why);

 private:
  void on_record(const logged_record& record);
  void tick();
  void renew();
  void ask_for_successor();
  void claim_next();
  void append_claim(const leader_claim& next, std::function<void(const append_answer&)> on_answer);
  millis claim_delay() const;
  void pace_reads();
  instant alive_at() const;

  shared_log& log;
  const clock& time;
  event_log& events;
  const ownership_options options;
  const handlers on;
  const std::uint64_t nonce;
  log_follower follower;
  timer ticker;
  std::optional<leader_claim> claim;
  std::int64_t end = 0;
  std::function<void()> on_succeeded;  // Of a resignation.
  instant heard{0};                    // When the topic last showed the owner alive.
  instant last_beat{0};                // When it last said so itself.
  instant former_until{0};
  instant renewed{0};
  instant renewal_sent{0};
  bool is_owner = false;
  bool in_flight = false;
  bool stopping = false;
  bool reads_seldom = false;
  // Since reads became frequent again; nothing until the first of them was answered.
  instant frequent_since{0};
  std::optional<instant> fresh_after = instant{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
