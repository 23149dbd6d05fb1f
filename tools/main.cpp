/// Prints docs/log-events.md.
#include "tools/log_events.hpp"

#include <iostream>

int main()
{
    std::cout << poplar::tools::log_events_page();
    return std::cout.flush() ? 0 : 1;
}
