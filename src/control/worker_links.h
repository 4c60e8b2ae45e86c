#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "platform/host_list.h"
#include "platform/worker_port.h"

namespace monsoonmux {

struct link_options {
  millis task_lease{10'000};    // Given to tasks with each renewal.
  millis command_bound{2'000};  // Commands take effect within this, or never.
  int syncs_per_lease = 4;
  int max_failed_syncs = 2;             // Failed syncs before leases stop being renewed.
  millis full_report_interval{60'000};  // A whole report is asked for at least this often.
};

// What the placer knows of one worker between two reports.
struct worker_link {
  worker_host host;
  bool registration_sent = false;  // Its worker_joined record was appended,
  bool registered = false;         // and is in the log.
  bool listed = true;              // In the platform's newest list.
  bool clock_known = false;
  worker_time reported_now = 0;  // The worker's clock in its last report,
  instant reported_at;           // which came at this local time.
  instant last_report;           // Last report; instant{} if none yet.
  instant next_sync;
  bool syncing = false;
  int failed_syncs = 0;
  std::int64_t report_number = 0;  // Of the last report; 0 asks for a whole one.
  instant last_full_report;
  // Tasks there run no longer than this unless a later command renews them.
  instant may_run_until;
  std::set<task_run> ended;  // Recorded ends to acknowledge.
};

// The connections of a domain's placer to its workers: when to renew leases,
// by when a command must take effect, until when a silent worker's tasks may
// still be running.
//
// Deadlines are given on the worker's own clock, counted from its last report,
// hence neither clock offset nor a pause of this daemon can let a command take
// effect after the placement right has ended.
class worker_links {
 public:
  struct sync {
    worker_id worker;
    sync_request request;
    instant sent;
  };

  worker_links(domain_id domain, link_options options);

  // Takes over the platform's list for this domain. Workers that are no longer
  // listed stay until they are dropped.
  void set_hosts(const std::vector<worker_host>& hosts);
  void drop(const worker_id& worker) { this->links.erase(worker); }

  // Syncs due now under the right that ends at `right_end`. With `whole` they ask
  // for whole reports, else for what changed.
  std::vector<sync> due_syncs(instant now, epoch number, instant right_end, bool whole);
  void on_report(const sync& sent_request, const worker_report& report, instant now);
  void on_failure(const sync& sent_request, instant now);

  // The deadline for a command sent now, and notes that what it starts may run
  // on. no_deadline if the worker's clock is not known yet.
  worker_time command_deadline(const worker_id& worker, instant now, instant right_end);
  // The local time of that deadline.
  instant command_end(instant now, instant right_end) const;
  // The end of a lease given by a command that takes effect by `effect`.
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
