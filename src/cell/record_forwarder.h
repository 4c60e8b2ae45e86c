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
  // Beats come every 100 ms; an owner that was not heard for longer is not asked.
  millis max_heartbeat_age{300};
  millis resend{100};  // The request or its answer may have been lost.
  millis tick{50};
  // Bytes of a record that still fit into one datagram with all that goes with it; a
  // daemon receives 16 KB at most.
  std::size_t max_record_bytes = 12 * 1024;
};

// This daemon's own owner.
class local_leader {
 public:
  virtual ~local_leader() = default;
  // True while this daemon is the owner and what it writes gets into the log.
  virtual bool can_store() const = 0;
  virtual void store(keyed_record record, std::function<void()> on_stored) = 0;
};

// Has the owner write callers' records, together with its own: one append carries
// the jobs of all daemons, the owner knows of them at once, and a daemon that is cut
// off from the log still takes jobs. Without an owner that beats, the daemon writes
// them itself.
//
// A request may be repeated, since its record's key makes it idempotent. Once it was
// sent to an owner, nobody can say any more that the record will not be stored, so
// then a failure of the own append is an unknown fate.
class record_forwarder final : public record_writer {
 public:
  record_forwarder(event_loop& io, peer_port& link, record_writer& direct, const clock& time,
                   daemon_id self, local_leader& local, const forwarder_options& options = {});
  ~record_forwarder() override;
  record_forwarder(const record_forwarder&) = delete;
  record_forwarder& operator=(const record_forwarder&) = delete;

  void write(write_request request, on_outcome done) override;
  bool can_forward() const override;
  // The owner of this epoch is alive and reaches the log. Beats of lower epochs than
  // one that was heard are of a former owner, and count for nothing.
  void heartbeat(epoch entry_for, const peer_address& from);
  void answered(const store_answer_message& answer);
  // Of the owner that was heard last.
  epoch latest_epoch() const { return this->leader_epoch; }

 private:
  struct entry {
    write_request request;
    on_outcome done;
    epoch sent_to{0};  // 0: to this daemon's own owner.
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
