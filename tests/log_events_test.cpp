#include "observe/log.hpp"
#include "tools/log_events.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace
{

namespace fs = std::filesystem;

const fs::path source = POPLAR_SOURCE;

std::string read_file(const fs::path& path)
{
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

struct numbers_of_file
{
    unsigned lowest = 0; ///< From the comment in the first line.
    unsigned highest = 0;
    std::vector<unsigned> numbers;
};

numbers_of_file read_numbers(const fs::path& path)
{
    const std::string text = read_file(path);
    numbers_of_file n;
    std::smatch range;
    static const std::regex head(R"(^// (\d+)-(\d+) )");
    if (std::regex_search(text, range, head))
    {
        n.lowest = static_cast<unsigned>(std::stoul(range[1]));
        n.highest = static_cast<unsigned>(std::stoul(range[2]));
    }
    static const std::regex event(R"(POPLAR_EVENT\(\s*(\d+))");
    for (std::sregex_iterator it(text.begin(), text.end(), event), end;
         it != end; ++it)
        n.numbers.push_back(static_cast<unsigned>(std::stoul((*it)[1])));
    return n;
}

std::vector<fs::path> event_files()
{
    std::vector<fs::path> files;
    for (const auto& it : fs::directory_iterator(source / "observe/events"))
        files.push_back(it.path());
    return files;
}

// Guards against an event that is added or changed without its documentation.
TEST(log_events, page_is_what_the_code_says)
{
    EXPECT_EQ(read_file(source / "docs/log-events.md"),
              poplar::tools::log_events_page())
        << "write the page anew with poplar-log-events";
}

// Guards against two events that cannot be told apart by number or name.
TEST(log_events, numbers_and_names_are_used_once)
{
    std::set<poplar::observe::event> numbers;
    std::set<std::string_view> names;
    for (const auto& it : poplar::observe::event_catalogue())
    {
        EXPECT_TRUE(numbers.insert(it.number).second) << it.name;
        EXPECT_TRUE(names.insert(it.name).second) << it.name;
    }
}

// Guards against an event in the wrong file, and against ranges that overlap.
TEST(log_events, numbers_lie_in_the_range_of_their_file)
{
    std::map<unsigned, unsigned> ranges; // highest number by lowest
    std::size_t n = 0;
    for (const fs::path& file : event_files())
    {
        const numbers_of_file f = read_numbers(file);
        EXPECT_GT(f.highest, f.lowest) << file.filename() << " has no range";
        EXPECT_TRUE(ranges.emplace(f.lowest, f.highest).second)
            << file.filename();
        for (const unsigned it : f.numbers)
            EXPECT_TRUE(it >= f.lowest && it <= f.highest)
                << file.filename() << ": " << it;
        n += f.numbers.size();
    }
    unsigned last = 0;
    for (const auto& [lowest, highest] : ranges)
    {
        EXPECT_GT(lowest, last);
        last = highest;
    }
    EXPECT_EQ(n, poplar::observe::event_catalogue().size());
}

} // namespace
