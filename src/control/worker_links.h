#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "platform/host_list.h"
#include "platform/worker_port.h"

namespace monsoonmux {

struct link_options {
  millis task_lease{10'000};    // Granted to tasks with each renewal.
  millis command_bound{2'000};  // Commands take effect within this, or never.
  int syncs_per_lease = 4;
  int max_failed_syncs = 2;             // Consecutive; leases are then no longer renewed.
  millis full_report_interval{60'000};  // A full report is requested at least this often.
};

// The placer's state for one worker.
struct worker_link {
  worker_host host;
  bool registration_sent = false;  // The append of its worker_joined record began.
  bool registered = false;         // The worker_joined record is in the log.
  bool listed = true;              // In the platform's newest list of hosts.
  bool clock_known = false;
  worker_time reported_now = 0;  // The worker's clock in its last report.
  instant reported_at;           // Local time at which that report arrived.
  instant last_report;           // Local time of the last report; instant{} if none.
  instant next_sync;
  bool syncing = false;
  int failed_syncs = 0;
  std::int64_t report_number = 0;  // Of the last report; 0 requests a full one.
  instant last_full_report;
  // Tasks on the worker run no longer than this unless a later command renews them.
  instant may_run_until;
  std::set<task_run> ended;  // Ended runs to acknowledge to the worker.
};

// The links of a domain's placer to its workers. Determines when leases are
// renewed, by when a command must take effect, and until when the tasks of an
// unresponsive worker may still be running.
//
// Deadlines are expressed in the worker's own clock, relative to its last report.
// Therefore neither a clock offset nor a pause of this daemon can let a command
// take effect after the placement lease has ended.
class worker_links {
 public:
  struct sync {
    worker_id worker;
    sync_request request;
    instant sent;
  };

  worker_links(domain_id domain, link_options options);

  // Sets the platform's list of hosts for this domain. Workers that are no longer
  // listed are kept until they are dropped.
  void set_hosts(const std::vector<worker_host>& hosts);
  void drop(const worker_id& worker) { this->links.erase(worker); }

  // Returns the syncs that are due now, under a placement lease that ends at
  // `domain_lease_end`. If `full`, all of them request full reports; otherwise those
  // whose last full report is recent request the changes only.
  std::vector<sync> due_syncs(instant now, epoch number, instant domain_lease_end, bool full);
  void on_report(const sync& sent_request, const worker_report& report, instant now);
  void on_failure(const sync& sent_request, instant now);

  // Returns the deadline of a command sent now, on the worker's clock, and extends
  // `may_run_until` to the end of the lease that the command may grant. Returns
  // no_deadline if the worker's clock is not known yet.
  worker_time command_deadline(const worker_id& worker, instant now, instant domain_lease_end);
  // The same deadline in local time.
  instant command_end(instant now, instant domain_lease_end) const;
  // The latest end of a lease granted by a command that takes effect by `effect`.
  instant lease_end(instant effect) const;

  worker_link* find(const worker_id& worker);
  std::map<worker_id, worker_link>& all() { return this->links; }
  const std::map<worker_id, worker_link>& all() const { return this->links; }
  const link_options& limits() const { return this->options; }

 private:
  const domain_id domain;
  const link_options options;
  std::map<worker_id, worker_link> links;
};

}  // namespace monsoonmux
