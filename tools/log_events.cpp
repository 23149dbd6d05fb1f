#include "tools/log_events.hpp"

#include "observe/log.hpp"

#include <algorithm>

namespace poplar::tools
{

namespace
{

constexpr const char* page_head = R"(# Log events

Every process writes its log to standard error, `poplar-gateway` to standard output, one JSON object
per line: `time` (UTC), `level`,
`event` (the number), `name`, `program`, and fields of the event. The number of an event never
changes and is never used again. The lowest level that is written is `log.level` of the settings.

`poplar-log-events` prints this page from the code; a test compares the two.

| numbers | area |
|---|---|
| 100-199 | process |
| 200-299 | inner protocol |
| 300-399 | platform and sheet |
| 400-499 | control |
| 500-599 | entry |
| 600-699 | agent |
| 700-799 | ledger |
| 800-899 | stand-ins and tools |
| 900-999 | gateway |

| number | name | level | meaning |
|---|---|---|---|
)";

const char* level_text(observe::severity level)
{
    switch (level)
    {
    case observe::severity::debug:
        return "debug";
    case observe::severity::info:
        return "info";
    case observe::severity::warning:
        return "warning";
    case observe::severity::error:
        return "error";
    }
    return "unknown";
}

std::string row_of(const observe::event_description& d)
{
    return "| " + std::to_string(static_cast<unsigned>(d.number)) + " | `" +
           std::string(d.name) + "` | " + level_text(d.level) + " | " +
           std::string(d.meaning) + " |\n";
}

} // namespace

std::string log_events_page()
{
    auto all = observe::event_catalogue();
    std::ranges::stable_sort(all, {}, &observe::event_description::number);
    std::string page = page_head;
    for (const observe::event_description& it : all)
        page += row_of(it);
    return page;
}

} // namespace poplar::tools
