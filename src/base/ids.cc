#include "base/ids.h"

#include <charconv>

namespace monsoonmux {

task_id parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos) {
    return {job_id(text), -1};
  }
  std::int32_t index = -1;
  const char* first = text.data() + slash + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, index);
  if (parsed.ec != std::errc{} || parsed.ptr != last) {
    index = -1;
  }
  return {job_id(text.substr(0, slash)), index};
}

}  // namespace monsoonmux
