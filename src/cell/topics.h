#pragma once

namespace monsoonmux::cell {

// Topics that the cell keeps in the shared log. Names that begin with "keyed."
// keep the newest record of each key for ever.
constexpr const char* work_topic = "keyed.monsoonmux-work";     // Jobs and their progress.
constexpr const char* leader_topic = "keyed.monsoonmux-owner";  // Who gives orders.

// Key of the only record in leader_topic.
constexpr const char* leader_key = "owner";
// Producer name of an owner's appends to work_topic.
constexpr const char* leader_producer = "owner";

}  // namespace monsoonmux::cell
