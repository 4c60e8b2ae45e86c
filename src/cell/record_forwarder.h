#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "cell/peer_message.h"
#include "cell/peer_port.h"
#include "cell/record_writer.h"
#include "cell/timer.h"

namespace monsoonmux::cell {

struct forwarder_options {
  // Heartbeats come every 100 ms. No record is forwarded to a leader whose last
  // heartbeat is older than this.
  millis max_heartbeat_age{300};
  millis resend{100};  // Retries a request, since it or its answer may have been lost.
  millis tick{50};
  // Larger records are not forwarded: a daemon receives datagrams of at most 16 KB, and
  // the datagram also carries the record's metadata.
  std::size_t max_record_bytes = 12 * 1024;
};

// The leader in this process.
class local_leader {
 public:
  virtual ~local_leader() = default;
  // True while this daemon is the leader and its records get into the log.
  virtual bool can_store() const = 0;
  virtual void store(keyed_record record, std::function<void()> on_stored) = 0;
};

// Forwards callers' records to the leader, which appends them in the same batches as its
// own: one append carries the jobs of all daemons, the leader knows of new jobs at once,
// and a daemon that is cut off from the log can still accept jobs. While no leader sends
// heartbeats, the daemon appends the records itself.
//
// A request may be retried, since the key of its record makes it idempotent. Once a
// request was sent to a leader, it cannot be ruled out that the record will be stored.
// From then on, a failure of this daemon's own append is reported as `unknown` rather
// than `not_stored`.
class record_forwarder final : public record_writer {
 public:
  record_forwarder(event_loop& io, peer_port& link, record_writer& direct, const clock& time,
                   daemon_id self, local_leader& local, const forwarder_options& options = {});
  ~record_forwarder() override;
  record_forwarder(const record_forwarder&) = delete;
  record_forwarder& operator=(const record_forwarder&) = delete;

  void write(write_request request, on_outcome done) override;
  bool can_forward() const override;
  // The leader of this epoch is alive and reaches the log. A heartbeat with a lower epoch
  // than one received before is from a previous leader and is ignored.
  void heartbeat(epoch of_epoch, const peer_address& from);
  void answered(const store_answer_message& answer);
  // The highest epoch from which a heartbeat was received.
  epoch latest_epoch() const { return this->leader_epoch; }

 private:
  struct entry {
    write_request request;
    on_outcome done;
    epoch sent_to{0};  // 0: to the leader in this process.
    instant sent_at{0};
  };

  void send(std::int64_t number, entry& e);
  void tick();
  bool lost_leader(const entry& e) const;
  void write_directly(entry e);
  void settle(std::int64_t number, const write_outcome& outcome);

  peer_port& link;
  record_writer& direct;
  const clock& time;
  const daemon_id self;
  local_leader& local;
  const forwarder_options options;
  timer ticker;
  std::map<std::int64_t, entry> open;
  std::int64_t next_number;
  epoch leader_epoch{0};
  peer_address leader;
  instant last_heartbeat{0};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace monsoonmux::cell
