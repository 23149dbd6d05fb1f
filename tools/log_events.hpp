/// The documentation page of all numbered log events.
#pragma once

#include <string>

namespace poplar::tools
{

/// Text of docs/log-events.md, ordered by number.
std::string log_events_page();

} // namespace poplar::tools
