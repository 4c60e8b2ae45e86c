#include "cell/lease_expiry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cell/clock_drift.h"

namespace monsoonmux::cell {
namespace {

// Allows for a command that the runner was executing when the end of its lease passed.
constexpr millis expiry_margin{300};

millis expiry_time(millis lease) {
  return longest_real_time(lease) + expiry_margin;
}

// What a command means to a run that the runner has begun already: it extends that run's lease, and
// is executed by the same incarnation.
lease_grant for_begun_run(lease_grant grant) {
  grant.begins_run = false;
  grant.lease_if_late = grant.lease;
  return grant;
}

}  // namespace

std::int64_t lease_expiry::sent(const lease_grant& grant) {
  const std::int64_t number = this->next_number++;
  this->open.emplace(number, open_grant{grant});
  this->reckon();
  return number;
}

void lease_expiry::answered(std::int64_t number) {
  const auto it = this->open.find(number);
  if (it == this->open.end()) {
    return;
  }
  const lease_grant grant = it->second.grant;
  this->late -= it->second.late ? 1 : 0;
  this->open.erase(it);
  this->granted = std::max(this->granted, grant.sent + expiry_time(grant.lease));
  this->extend(grant.lease, grant.sent);
}

void lease_expiry::unanswered(std::int64_t number) {
  const auto it = this->open.find(number);
  if (it == this->open.end() || it->second.late) {
    return;
  }
  it->second.late = true;
  ++this->late;
  this->reckon();
}

void lease_expiry::fenced(instant now) {
  this->is_inherited_fenced = true;
  this->inherited_if_late =
      std::min(this->inherited_if_late, now + expiry_time(this->longest_lease));
  for (auto it = this->open.begin(); it != this->open.end();) {
    if (!it->second.late) {
      ++it;
      continue;
    }
    const lease_grant& grant = it->second.grant;
    this->settled = std::max(this->settled, now + expiry_time(grant.lease_if_late));
    this->granted = std::max(this->granted, now + expiry_time(grant.lease));
    it = this->open.erase(it);
  }
  this->late = 0;
  this->reckon();
}

void lease_expiry::extend(millis lease, instant now) {
  this->settled = std::max(this->settled, now + expiry_time(lease));
  this->reckon();
}

instant lease_expiry::end_if_unanswered() const {
  std::vector<lease_grant> grants;
  for (const auto& [number, each] : this->open) {
    grants.push_back(each.grant);
  }
  return this->extended_by(std::move(grants), std::max(this->settled, this->inherited_if_late));
}

instant lease_expiry::end_of_begun_from(instant others) const {
  std::vector<lease_grant> grants;
  for (const auto& [number, each] : this->open) {
    grants.push_back(for_begun_run(each.grant));
  }
  return this->extended_by(std::move(grants), others);
}

// Each late command may be executed just before the leases end that the others gave. The one that
// may be executed last extends them furthest, so it counts last.
instant lease_expiry::extended_by(std::vector<lease_grant> late_grants, instant others) {
  instant out = others;
  std::sort(late_grants.begin(), late_grants.end(), [](const lease_grant& a, const lease_grant& b) {
    return a.executed_by < b.executed_by;
  });
  for (const lease_grant& grant : late_grants) {
    const instant executed =
        grant.begins_run ? grant.executed_by : std::min(grant.executed_by, out);
    out = std::max(out, std::max(executed, grant.sent) + expiry_time(grant.lease_if_late));
  }
  return out;
}

void lease_expiry::reckon() {
  this->latest_in_time = this->settled;
  instant answerable = this->settled;  // By the commands that are not late, in time.
  std::vector<lease_grant> late_grants;
  std::vector<lease_grant> late_extensions;
  for (const auto& [number, each] : this->open) {
    const instant in_time = each.grant.sent + expiry_time(each.grant.lease);
    this->latest_in_time = std::max(this->latest_in_time, in_time);
    if (each.late) {
      late_grants.push_back(each.grant);
      late_extensions.push_back(for_begun_run(each.grant));
    } else {
      answerable = std::max(answerable, in_time);
    }
  }
  this->latest_of_begun = this->extended_by(std::move(late_extensions), answerable);
  this->latest_of_unbegun = this->extended_by(late_grants, answerable);
  this->latest =
      this->extended_by(std::move(late_grants), std::max(answerable, this->inherited_if_late));
}

}  // namespace monsoonmux::cell
