#pragma once

namespace monsoonmux::cell {

// The cell's topics in the shared log. A topic whose name begins with "keyed." retains the
// newest record of each key forever.
constexpr const char* work_topic = "keyed.monsoonmux-work";     // Jobs and their progress.
constexpr const char* leader_topic = "keyed.monsoonmux-owner";  // Claims of leadership.

// The keys in leader_topic: the claim, and directly before it what it says about leases.
constexpr const char* leader_key = "owner";
constexpr const char* lease_bounds_key = "leases";
// The producer name of a leader's appends to work_topic.
constexpr const char* leader_producer = "owner";

}  // namespace monsoonmux::cell
