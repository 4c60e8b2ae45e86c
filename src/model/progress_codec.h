#pragma once

#include <string>
#include <vector>

#include "model/cell_record.h"

namespace monsoonmux::cell {

// The tasks of one occurrence in few bytes: a job's progress is written with each change
// of any of its tasks.
//
// Numbers take as many bytes as they need, a field that has its usual value none, and
// tasks in a row that differ only by their index are written as one with a count.
std::string pack(const std::vector<task_progress>& tasks);
// Inverse of pack(). Throws std::runtime_error if the bytes are not from there.
std::vector<task_progress> unpack(const std::string& bytes);

}  // namespace monsoonmux::cell
