#include "control/worker_links.h"

#include <algorithm>

namespace monsoonmux {
namespace {

// Leases are assumed to last up to 1/20 longer, in case a worker's clock runs slow.
constexpr std::int64_t drift_divisor = 20;

}  // namespace

worker_links::worker_links(domain_id domain, link_options options)
    : domain(std::move(domain)), options(options) {}

void worker_links::set_hosts(const std::vector<worker_host>& hosts) {
  for (auto& [id, link] : this->links) {
    link.listed = false;
  }
  for (const worker_host& host : hosts) {
    worker_link& link = this->links[host.worker];
    link.host = host;
    link.listed = true;
  }
}

instant worker_links::command_end(instant now, instant domain_lease_end) const {
  return std::min(domain_lease_end, now + this->options.command_bound);
}

instant worker_links::lease_end(instant effect) const {
  return effect + this->options.task_lease + this->options.task_lease / drift_divisor;
}

worker_time worker_links::command_deadline(const worker_id& worker, instant now,
                                           instant domain_lease_end) {
  worker_link* link = this->find(worker);
  if (link == nullptr || !link->clock_known) {
    return no_deadline;
  }
  const instant end = this->command_end(now, domain_lease_end);
  link->may_run_until = std::max(link->may_run_until, this->lease_end(end));
  // The worker read its clock before the report arrived, so a deadline relative to
  // the arrival may be early but is never late.
  return link->reported_now + (end - link->reported_at).value;
}

std::vector<worker_links::sync> worker_links::due_syncs(instant now, epoch number,
                                                        instant domain_lease_end, bool full) {
  std::vector<sync> out;
  for (auto& [id, link] : this->links) {
    if (link.syncing || now < link.next_sync) {
      continue;
    }
    link.syncing = true;
    link.next_sync = now + this->options.task_lease / this->options.syncs_per_lease;
    sync s{id, {this->domain, number, {}, {}, no_deadline, 0, {}}, now};
    const bool alive = link.clock_known && link.failed_syncs < this->options.max_failed_syncs;
    if (!full && now < link.last_full_report + this->options.full_report_interval) {
      s.request.since = link.report_number;
    }
    if (alive) {
      s.request.lease = this->options.task_lease;
      s.request.not_after = this->command_deadline(id, now, domain_lease_end);
      s.request.send_by = this->command_end(now, domain_lease_end);
    }
    s.request.ended.assign(link.ended.begin(), link.ended.end());
    out.push_back(std::move(s));
  }
  return out;
}

void worker_links::on_report(const sync& sent_request, const worker_report& report, instant now) {
  worker_link* link = this->find(sent_request.worker);
  if (link == nullptr) {
    return;
  }
  const bool reconnected =
      link->failed_syncs >= this->options.max_failed_syncs || !link->clock_known;
  link->syncing = false;
  link->failed_syncs = 0;
  link->clock_known = true;
  link->reported_now = report.now;
  link->reported_at = now;
  link->last_report = now;
  link->report_number = report.number;
  link->last_full_report = report.whole ? sent_request.sent : link->last_full_report;
  if (reconnected) {
    link->next_sync = now;  // Renew the leases of tasks that still run.
  }
  for (const task_run& run : sent_request.request.ended) {
    link->ended.erase(run);
  }
}

void worker_links::on_failure(const sync& sent_request, instant) {
  if (worker_link* link = this->find(sent_request.worker); link != nullptr) {
    link->syncing = false;
    ++link->failed_syncs;
  }
}

worker_link* worker_links::find(const worker_id& worker) {
  const auto it = this->links.find(worker);
  return it == this->links.end() ? nullptr : &it->second;
}

}  // namespace monsoonmux
