#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "async/event_log.h"
#include "base/clock.h"
#include "cell/lease_expiry.h"
#include "cell/lease_reach.h"
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
  // Time without a renewal in the log and without a heartbeat after which another daemon
  // claims. Counts only while the log answers.
  millis claim_timeout{600};
  // The same while the leader's heartbeats still arrive, which means that only its log
  // appends are slow.
  millis claim_timeout_with_heartbeats{1'500};
  // Between two reads of the claims while heartbeats carry the same information.
  millis read_interval{900};
  // Heartbeats come every 100 ms; the leader counts as unresponsive after this time
  // without one.
  millis heartbeat_timeout{400};
  // Candidates spread their claims over this time, so that two claims rarely collide.
  millis stagger{150};
  // A leader sends no commands later than this after its last renewal.
  millis command_window{3'500};
  // No lease that a leader grants lasts longer than this after its last renewal was sent,
  // whenever in its command window it is granted. Its successor relies on this for runners that
  // it cannot reach. docs/DESIGN.md has the sum of which this is a part.
  millis lease_horizon{8'300};
  // A command is executed later than this after it was sent by no runner, so a lease lasts longer
  // than the above by no more.
  millis latest_execution = lease_expiry::longest_way;
  // The same as `lease_horizon` for leaders that write no lease_bounds: a window of 3.5 s, and
  // leases of 6 s on a clock that is 3% slow.
  millis lease_horizon_without_bounds{9'680};
  // A leader starts nothing later than this after its last renewal. It is shorter, since a
  // runner that has restarted would execute a start again that a successor knows to be done.
  millis start_window{1'500};
};

// Leader election through the shared log: the leader is the daemon whose claim is the
// newest record of the claims' topic.
//
// A claim is a conditional append: it succeeds only if the topic still ends at the offset
// up to which the claimant has read. So of two claimants only one wins, and its epoch is
// higher than all before. The leader renews its claim in the same way. The daemons need
// no synchronized clocks: each candidate measures on its own clock how long the leader
// has been unresponsive, and only while the log answers.
class leadership {
 public:
  struct handlers {
    std::function<void(epoch)> on_gained;
    std::function<void(const std::string& why)> on_lost;
    // True if this daemon could take over at once. A daemon that has just started must
    // read the log first, so another daemon is the better leader.
    std::function<bool()> may_claim;
    // Additional time that this daemon waits before it claims.
    std::function<millis()> extra_claim_delay;
    // The runners that the leader does not reach. From now on it extends no lease there, until
    // on_bounds_stored() follows a call that does not name them.
    std::function<std::vector<runner_lease_bound>()> lease_bounds;
    // What lease_bounds() returned last is in the log.
    std::function<void()> on_bounds_stored;
  };

  leadership(event_loop& io, shared_log& log, const clock& time, event_log& events,
             const leadership_options& options, handlers on);
  ~leadership();
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;

  void start();
  bool leads() const { return this->is_leader; }
  // True while commands may still be sent to runners under this claim.
  bool may_command() const;
  // True while starts may be sent to runners under this claim.
  bool may_start() const {
    return this->grants_leases && this->renewed_within(this->options.start_window);
  }
  // No lease that is granted now under this claim may last longer than this.
  instant leases_until() const {
    return this->grants_leases ? this->renewed + this->options.lease_horizon : instant{0};
  }
  // The leases of all previous leaders. Set when leadership is gained.
  const inherited_leases& inherited() const { return this->previous_leases; }
  // A heartbeat of the leader of this epoch, which is alive and reaches the log.
  void heartbeat(epoch of_epoch);
  bool has_heartbeats() const {
    return this->time.now() - this->last_heartbeat < this->options.heartbeat_timeout;
  }
  // True if this daemon leads and renewed its claim within `age`, so it reaches the log.
  bool renewed_within(millis age) const {
    return this->is_leader && this->time.now() - this->renewed <= age;
  }
  // When the log last answered a read of the claims.
  instant last_contact() const { return this->follower.last_contact(); }
  // The newest claim in the log, if there is any.
  const std::optional<leader_claim>& newest() const { return this->claim; }
  // Asks for a successor and continues as the leader until there is one, then calls
  // `on_done`.
  void resign(std::function<void()> on_done);
  // Ends the leadership. Also called when something other than the topic shows that the
  // epoch is over.
  void lose(const std::string& why);

 private:
  // The first claim that was sent for an offset. It may still be stored, as may every repeat
  // of it, until another record is there.
  struct claim_attempt {
    std::int64_t offset = 0;
    instant sent;
  };

  void on_record(const logged_record& record);
  // True if the record is a claim that this daemon has sent and got no answer for. A renewal
  // that is found after the epoch is over is none.
  bool is_unanswered_claim(const logged_record& record, const leader_claim& received) const;
  void tick();
  void renew();
  void append_resignation();
  void claim_next();
  void append_claim(const leader_claim& next, const lease_bounds& bounds,
                    std::function<void(const append_answer&)> on_answer);
  // What a renewal says about leases.
  lease_bounds own_bounds() const;
  // What a claim says: that this daemon has granted none yet.
  lease_bounds inherited_bounds(instant now) const;
  void gain(epoch at);
  // The renewal or resignation that was sent then is in the log.
  void note_renewal(instant sent, const append_answer& answer);
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
  std::function<void()> on_successor;  // Called when a resignation is complete.
  instant last_seen_in_log{0};         // When the topic last showed the leader alive.
  instant last_heartbeat{0};           // When its last heartbeat was received.
  // Until when leases last by the newest claim or renewal that was read. Unlike the two above
  // this is a bound and no estimate.
  lease_reach reach;
  inherited_leases previous_leases;
  std::optional<claim_attempt> unanswered;
  instant renewed{0};
  instant renewal_sent{0};
  bool is_leader = false;
  // A renewal is in the log, so that successors count with leases of this daemon. Its claim says
  // that there are none.
  bool grants_leases = false;
  bool in_flight = false;
  std::int64_t attempts = 0;  // Appends that were sent.
  bool stopping = false;
  bool reads_throttled = false;
  // When reads were last throttled or unthrottled.
  instant throttle_changed_at{0};
  // When the first read since then was answered; empty until then.
  std::optional<instant> fresh_after = instant{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
