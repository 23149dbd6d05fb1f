/// Exit codes of poplarctl; docs/poplarctl.md lists them.
#pragma once

namespace poplar::ctl
{

enum class exit_code : int
{
    success = 0,
    failure = 1,       ///< Unexpected failure.
    usage = 2,         ///< Wrong command line.
    refused_sheet = 3, ///< The sheet has faults; nothing was written.
    conflict = 4,      ///< Another export is current; nothing was written.
    unknown = 5,       ///< The export may have been accepted.
    unreachable = 6,   ///< Nothing could be asked or written.
    different = 7,     ///< diff found differences.
    not_found = 8      ///< No such sheet, export or record.
};

} // namespace poplar::ctl
