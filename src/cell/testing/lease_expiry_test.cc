// Until when leases count, by the commands that were answered, got no answer or were fenced.

#include "cell/lease_expiry.h"

#include <catch2/catch.hpp>

#include "cell/clock_drift.h"

namespace monsoonmux::cell {
namespace {

constexpr instant start{1'000'000};
constexpr millis lease{6'000};
constexpr millis margin{300};

// The end of a lease that a command gives which is executed then.
instant end_from(instant executed) {
  return executed + longest_real_time(lease) + margin;
}
lease_grant poll_at(instant sent) {
  return {sent, lease, lease, sent + lease_expiry::longest_way};
}
lease_grant start_at(instant sent, instant executed_by) {
  return {sent, lease, lease, executed_by, true};
}

lease_expiry without_inherited(instant until) {
  return lease_expiry({until, until}, lease);
}

TEST_CASE("An answered lease counts from the sending of its command") {
  lease_expiry leases = without_inherited(instant{0});
  const std::int64_t grant = leases.sent(poll_at(start));
  CHECK(leases.end() == end_from(start));
  leases.answered(grant);
  CHECK(leases.end() == end_from(start));
  CHECK_FALSE(leases.has_late_grants());
}

TEST_CASE("A lease without an answer counts from the end of the leases before it") {
  lease_expiry leases = without_inherited(instant{0});
  leases.answered(leases.sent(poll_at(start)));
  const instant sent = start + millis{2'000};
  leases.unanswered(leases.sent(poll_at(sent)));
  CHECK(leases.has_late_grants());
  CHECK(leases.end() == end_from(end_from(start)));
  CHECK(leases.end_if_in_time() == end_from(sent));
}

TEST_CASE("A lease without an answer counts from the latest execution of its command at most") {
  lease_expiry leases = without_inherited(start + millis{60'000});
  leases.unanswered(leases.sent(poll_at(start)));
  CHECK(leases.end() == start + millis{60'000});
  const instant late = start + millis{50'000};
  leases.unanswered(leases.sent(poll_at(late)));
  CHECK(leases.end() == end_from(start + millis{60'000}));
}

TEST_CASE("Several leases without an answer add up in whatever order they are executed") {
  lease_expiry leases = without_inherited(instant{0});
  leases.answered(leases.sent(poll_at(start)));
  const instant sent = start + millis{1'000};
  const instant ticket_end = sent + millis{1'500};
  leases.unanswered(leases.sent(poll_at(sent)));
  leases.unanswered(leases.sent(start_at(sent, ticket_end)));
  const instant after_start = end_from(ticket_end);
  const instant last = std::min(sent + lease_expiry::longest_way, after_start);
  CHECK(leases.end() == end_from(last));
}

TEST_CASE("A start without an answer may begin a run when all leases have ended") {
  lease_expiry leases = without_inherited(instant{0});
  const instant executed_by = start + lease_expiry::longest_way;
  leases.unanswered(leases.sent(start_at(start, executed_by)));
  CHECK(leases.end() == end_from(executed_by));
}

TEST_CASE("A late start counts with the longest lease that the next incarnation may give it") {
  constexpr millis longest_lease{10'000};
  lease_expiry leases = without_inherited(instant{0});
  const instant executed_by = start + lease_expiry::longest_way;
  leases.unanswered(leases.sent({start, lease, longest_lease, executed_by, true}));
  CHECK(leases.end() == executed_by + longest_real_time(longest_lease) + margin);
  CHECK(leases.end_if_in_time() == end_from(start));
}

TEST_CASE("A lease is not extended any more once the runner has executed a later token") {
  lease_expiry leases = without_inherited(instant{0});
  leases.unanswered(leases.sent(poll_at(start)));
  const instant fenced_at = start + millis{900};
  leases.fenced(fenced_at);
  CHECK_FALSE(leases.has_late_grants());
  CHECK(leases.end() == end_from(fenced_at));
}

TEST_CASE("Fencing does not settle a command whose answer may still come in time") {
  lease_expiry leases = without_inherited(instant{0});
  const std::int64_t open = leases.sent(poll_at(start));
  leases.fenced(start);
  leases.unanswered(open);
  CHECK(leases.has_late_grants());
  CHECK(leases.end() == end_from(start));  // Nothing ran that it could extend later.
}

TEST_CASE("A late command of a previous leader counts until the runner has executed one of ours") {
  const instant in_time = start + millis{8'000};
  const instant if_late = in_time + lease_expiry::longest_way;
  lease_expiry leases({in_time, if_late}, lease);
  CHECK(leases.end() == if_late);
  CHECK(leases.end_if_in_time() == in_time);
  CHECK(leases.awaits_fence());
  CHECK_FALSE(leases.has_late_grants());
  leases.fenced(start);
  CHECK_FALSE(leases.awaits_fence());
  CHECK(leases.end() == std::max(in_time, end_from(start)));
  leases.fenced(start + millis{2'000});
  CHECK(leases.end() == std::max(in_time, end_from(start)));
}

TEST_CASE("A late command extends the lease of a begun run only while that has not ended") {
  lease_expiry leases = without_inherited(instant{0});
  leases.answered(leases.sent(poll_at(start)));
  CHECK(leases.end_of_begun() == end_from(start));
  const instant sent = start + millis{2'000};
  leases.unanswered(leases.sent(start_at(sent, sent + lease_expiry::longest_way)));
  CHECK(leases.end_of_begun() == end_from(end_from(start)));
  CHECK(leases.end_of_unbegun() == end_from(sent + lease_expiry::longest_way));
  leases.fenced(sent);
  CHECK(leases.end_of_begun() == end_from(sent));
}

TEST_CASE(
    "A late start counts for a begun run with its own lease, not with the next incarnation's") {
  lease_expiry leases = without_inherited(instant{0});
  leases.answered(leases.sent(poll_at(start)));
  leases.unanswered(
      leases.sent({start, lease, lease * 2, start + lease_expiry::longest_way, true}));
  CHECK(leases.end_of_begun() == end_from(end_from(start)));
}

TEST_CASE("Late commands of previous leaders do not extend the lease of a begun run") {
  const instant in_time = start + millis{8'000};
  lease_expiry leases({in_time, in_time + lease_expiry::longest_way}, lease);
  CHECK(leases.end_of_begun() == in_time);
}

TEST_CASE("The reach of a leader's own commands counts each of them as late") {
  lease_expiry leases({start + millis{60'000}, start + millis{60'000}}, lease);
  CHECK(leases.reach() == leases.granted_until());
  leases.answered(leases.sent(poll_at(start)));
  CHECK(leases.granted_until() == end_from(start));
  CHECK(leases.reach() == end_from(start));
  const std::int64_t open = leases.sent(poll_at(start + millis{1'000}));
  CHECK(leases.has_open_grants());
  CHECK(leases.reach() == end_from(end_from(start)));
  leases.answered(open);
  CHECK(leases.reach() == end_from(start + millis{1'000}));
}

TEST_CASE("A successor is told of the commands that may still be answered as if they came late") {
  lease_expiry leases = without_inherited(instant{0});
  leases.answered(leases.sent(poll_at(start)));
  const std::int64_t open = leases.sent(poll_at(start + millis{1'000}));
  CHECK(leases.end() == end_from(start + millis{1'000}));
  CHECK(leases.end_if_unanswered() == end_from(end_from(start)));
  CHECK(leases.end_of_begun_if_unanswered() == end_from(end_from(start)));
  leases.answered(open);
  CHECK(leases.end_if_unanswered() == leases.end());
  CHECK(leases.end_of_begun_if_unanswered() == leases.end());
}

}  // namespace
}  // namespace monsoonmux::cell
