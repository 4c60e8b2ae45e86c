#include "async/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace monsoonmux::cell {

event_log::event_log(int out, const clock& now, std::string name, const event_log_options& given)
    : descriptor(out), time(now), daemon(std::move(name)), options(given) {
  const int flags = fcntl(this->descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

event_log::~event_log() {
  this->flush();
}

void event_log::write(std::string_view event, const nlohmann::ordered_json& fields) {
  nlohmann::ordered_json line;
  line["t_ms"] = this->time.wall_ms();
  line["daemon"] = this->daemon;
  line["event"] = event;
  if (this->dropped_unreported > 0) {
    line["lines_dropped"] = this->dropped_unreported;
  }
  if (fields.is_object()) {
    line.update(fields);
  }
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  if (this->buffer.size() + text.size() > this->options.buffer_bytes) {
    ++this->dropped_total;
    ++this->dropped_unreported;
  } else {
    this->buffer += text;
    this->dropped_unreported = 0;
  }
  this->flush();
}

void event_log::flush() {
  while (!this->buffer.empty()) {
    const ssize_t taken = ::write(this->descriptor, this->buffer.data(), this->buffer.size());
    if (taken < 0 && errno == EINTR) {
      continue;
    }
    if (taken <= 0) {
      return;  // The descriptor is full or closed, and errors have no other output.
    }
    this->buffer.erase(0, static_cast<std::size_t>(taken));
  }
}

}  // namespace monsoonmux::cell
