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

struct leadership_options {
  daemon_id self;
  std::string peer_address;
  std::uint16_t peer_port = 0;
  millis renew_interval{250};
  // Silence of the owner, in a log that answers and among the daemons, after which
  // others claim.
  millis claim_timeout{600};
  // The same while the owner's beats still arrive: it is only the log that is slow
  // for it.
  millis claim_timeout_with_heartbeats{1'500};
  // Between two reads of the claims while beats say the same.
  millis read_interval{900};
  // Beats come every 100 ms; after this without one the owner counts as silent.
  millis heartbeat_timeout{400};
  // Candidates spread over this time, so that one claim meets no other.
  millis stagger{150};
  // After its last renewal an owner gives orders no longer than this. Its
  // successor counts on it for runners that it cannot reach.
  millis command_window{3'500};
};

// Who gives orders: the daemon whose claim is the newest record of its topic.
//
// A claim is appended only if the topic still ends where the claimant read it to
// end, so of two claimants one wins, and its epoch is higher than any before. The
// owner renews its claim in the same way. Nobody needs a clock in common: silence
// is measured by each candidate, only while the log answers.
class leadership {
 public:
  struct handlers {
    std::function<void(epoch)> on_gained;
    std::function<void(const std::string& why)> on_lost;
    // True if this daemon could take over at once. One that has just started has the
    // log to read first; another is better then.
    std::function<bool()> may_claim;
    // How much longer than others this daemon lets an owner be silent before it claims.
    std::function<millis()> extra_claim_delay;
  };

  leadership(event_loop& io, shared_log& log, const clock& time, event_log& events,
             const leadership_options& options, handlers on);
  ~leadership();
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;

  void start();
  bool leader() const { return this->is_leader; }
  // True while orders may still be given under this claim.
  bool may_command() const;
  // A former owner gave no order after this; known at the gain of ownership.
  instant previous_commands_until() const { return this->previous_until; }
  // The owner of this epoch says that it is alive and reaches the log.
  void heartbeat(epoch entry_for);
  bool has_heartbeats() const {
    return this->time.now() - this->last_heartbeat < this->options.heartbeat_timeout;
  }
  // True if the claim was renewed lately: the owner reaches the log.
  bool renewed_within(millis age) const {
    return this->is_leader && this->time.now() - this->renewed <= age;
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
  void append_resignation();
  void claim_next();
  void append_claim(const leader_claim& next, std::function<void(const append_answer&)> on_answer);
  millis claim_delay() const;
  void throttle_reads();
  instant last_alive() const;

  shared_log& log;
  const clock& time;
  event_log& events;
  const leadership_options options;
  const handlers on;
  const std::uint64_t nonce;
  log_follower follower;
  timer ticker;
  std::optional<leader_claim> claim;
  std::int64_t end = 0;
  std::function<void()> on_successor;  // Of a resignation.
  instant last_seen_in_log{0};         // When the topic last showed the owner alive.
  instant last_heartbeat{0};           // When it last said so itself.
  instant previous_until{0};
  instant renewed{0};
  instant renewal_sent{0};
  bool is_leader = false;
  bool in_flight = false;
  bool stopping = false;
  bool reads_throttled = false;
  // Since reads became frequent again; nothing until the first of them was answered.
  instant unthrottled_since{0};
  std::optional<instant> fresh_after = instant{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
