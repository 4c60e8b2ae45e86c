// One read is in flight at a time. Reads are numbered, and a late answer to an
// abandoned read is recognized by its number and discarded, so entries are applied
// once and in order, whichever source they come from. While the platform fails,
// reads alternate between the platform and a peer. A daemon that is cut off from
// the platform but not from a peer is thus one poll interval behind instead of out
// of date for the whole outage.

#include "journal/log_follower.h"

namespace monsoonmux {
namespace {

constexpr std::size_t cache_bytes = 4 << 20;

}  // namespace

log_follower::log_follower(log_service& platform, log_service& peers, replica& state,
                           const clock& time, event_sink& events, follower_options options)
    : platform(platform),
      peers(peers),
      state(state),
      time(time),
      events(events),
      options(options),
      recent(cache_bytes) {}

void log_follower::tick() {
  const instant now = this->time.now();
  bool from_platform = true;
  std::int64_t number = 0;
  log_offset from;
  {
    const std::lock_guard guard(this->lock);
    const bool timed_out =
        this->read_in_flight && now >= this->read_started + this->options.read_timeout;
    if (timed_out) {
      this->read_from_peer = !this->read_from_peer;
      this->platform_answers = false;
    }
    const bool newer_entries_expected = this->hinted_next > this->cursor;
    if ((this->read_in_flight && !timed_out) ||
        (now < this->next_read && !newer_entries_expected)) {
      return;
    }
    this->read_in_flight = true;
    this->read_started = now;
    number = ++this->read_number;
    from_platform = !this->read_from_peer;
    from = this->cursor;
  }
  log_service& source = from_platform ? this->platform : this->peers;
  source.read(from, [this, from_platform, now, number](const result<log_page>& page) {
    this->on_page(from_platform, now, number, page);
  });
}

void log_follower::on_page(bool platform, instant sent, std::int64_t read,
                           const result<log_page>& page) {
  const std::lock_guard applying(this->apply_lock);
  {
    const std::lock_guard guard(this->lock);
    if (read != this->read_number) {
      return;
    }
  }
  if (page.has_value()) {
    this->apply_page(platform, sent, page.value());
  }
  const std::lock_guard guard(this->lock);
  this->read_in_flight = false;
  if (platform) {
    this->platform_answers = page.has_value();
  }
  // After a read from a peer, the next read goes to the platform again, whatever the
  // peer answered.
  this->read_from_peer = platform && page.has_error();
  const bool more = page.has_value() && !page.value().entries.empty();
  this->hinted_next = page.has_value() && !more ? this->cursor : this->hinted_next;
  const instant now = this->time.now();
  this->next_read =
      more ? now : now + (page.has_error() ? this->options.retry : this->options.poll);
  if (page.has_error()) {
    this->hinted_next = this->cursor;
  }
}

void log_follower::apply_page(bool platform, instant sent, const log_page& page) {
  log_offset at = this->next();
  if (platform && page.end < at) {
    this->events.emit("log_shorter",
                      {{"had", std::to_string(at.value)}, {"end", std::to_string(page.end.value)}});
    this->recent.clear();
    at = page.end;
  }
  if (platform && page.first_kept > at) {
    this->events.emit("log_gap", {{"from", std::to_string(at.value)},
                                  {"first_kept", std::to_string(page.first_kept.value)}});
    at = page.first_kept;
  }
  for (const log_entry& entry : page.entries) {
    if (entry.offset < at) {
      if (!platform && entry.offset == snapshot_offset) {
        this->state.apply(entry.bytes, sent);
      }
      continue;
    }
    if (entry.offset > at) {
      break;
    }
    this->state.apply(entry.bytes, sent);
    this->recent.add(entry);
    at = {entry.offset.value + 1};
    const std::lock_guard guard(this->lock);
    this->cursor = at;
  }
  const std::lock_guard guard(this->lock);
  this->cursor = at;
  // A peer whose cache does not reach back to this offset sends a snapshot instead,
  // and in `first_kept` the offset at which the log continues after the snapshot.
  if (!platform && page.first_kept > at) {
    this->cursor = page.first_kept;
  }
  if (platform && this->cursor >= page.end) {
    this->confirmed = sent;
  }
}

void log_follower::hint(log_offset next) {
  const std::lock_guard guard(this->lock);
  if (next > this->hinted_next) {
    this->hinted_next = next;
  }
}

log_offset log_follower::next() const {
  const std::lock_guard guard(this->lock);
  return this->cursor;
}

instant log_follower::confirmed_at() const {
  const std::lock_guard guard(this->lock);
  return this->confirmed;
}

bool log_follower::platform_reachable() const {
  const std::lock_guard guard(this->lock);
  return this->platform_answers;
}

}  // namespace monsoonmux
