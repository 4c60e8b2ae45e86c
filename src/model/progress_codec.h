#pragma once

#include <string>
#include <vector>

#include "model/cell_record.h"

namespace monsoonmux::cell {

// Encodes the tasks of one occurrence in few bytes, since a job's progress is written anew
// with each change of any of its tasks.
//
// Numbers have a variable length, fields with their usual value are left out, and
// consecutive tasks that differ only by their index are written as one entry with a count.
std::string pack(const std::vector<task_progress>& tasks);
// Inverse of pack(). Throws std::runtime_error if the bytes are malformed.
std::vector<task_progress> unpack(const std::string& bytes);

}  // namespace monsoonmux::cell
