// The settings pages in docs/ against the programs: parsers (by their source
// and by --check-config) and tables must name the same keys and ranges.
#include "tests/system/process.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <regex>
#include <set>
#include <sstream>

namespace
{

namespace fs = std::filesystem;
using poplar::testing_support::command_result;
using poplar::testing_support::run_command;
using poplar::testing_support::scratch_folder;

const fs::path source = POPLAR_SOURCE;

struct page
{
    std::string program;
    std::string file;
    std::string section; ///< Heading of the program; empty: the whole page.
    std::string parser;  ///< Source file of the settings parser.
};

std::ostream& operator<<(std::ostream& out, const page& p)
{
    return out << p.program;
}

struct range
{
    std::string lowest;
    std::string highest;
};

struct documented_key
{
    std::string name;  ///< Dotted path.
    std::string value; ///< Default; empty: none.
    std::optional<range> limits;
    bool is_choice = false; ///< Text out of a list.
    bool is_text = false;
    bool is_required = false;
};

std::string read_file(const fs::path& path)
{
    std::ifstream in(path);
    std::stringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

/// Cells of a table row, without blanks around them and without backquotes.
std::vector<std::string> cells_of(const std::string& line)
{
    std::vector<std::string> cells;
    std::stringstream in(line.substr(1));
    for (std::string cell; std::getline(in, cell, '|');)
    {
        std::erase(cell, '`');
        const auto from = cell.find_first_not_of(' ');
        const auto to = cell.find_last_not_of(' ');
        cells.push_back(
            from == std::string::npos ? "" : cell.substr(from, to - from + 1));
    }
    return cells;
}

std::optional<range> parse_range(const std::string& text)
{
    static const std::regex form(R"(^([\d.]+[a-zA-Z]*) to ([\d.]+[a-zA-Z]*)$)");
    std::smatch m;
    if (!std::regex_search(text, m, form))
        return std::nullopt;
    return range{m[1], m[2]};
}

/// The tables of one page whose first column is "key".
class page_reader
{
public:
    explicit page_reader(page p) : page_(std::move(p)) {}

    std::vector<documented_key> read()
    {
        std::stringstream in(read_file(source / "docs" / page_.file));
        for (std::string line; std::getline(in, line);)
            take(line);
        return keys_;
    }

private:
    void take(const std::string& line)
    {
        static const std::regex table(R"(^(## )?`\[(\w+)\]`)");
        std::smatch m;
        if (line.starts_with("|"))
            return take_row(cells_of(line));
        columns_.clear();
        if (std::regex_search(line, m, table))
            prefix_ = m[2].str() + ".";
        else if (line.starts_with("## "))
            is_wanted_ = page_.section.empty() || line == "## " + page_.section;
        else if (line.starts_with("# "))
            is_wanted_ = page_.section.empty();
    }

    void take_row(const std::vector<std::string>& cells)
    {
        if (columns_.empty())
        {
            columns_ = cells;
            return;
        }
        if (!is_wanted_ || columns_[0] != "key" || cells[0].starts_with("-"))
            return;
        documented_key key;
        key.name = prefix_ + cells[0];
        key.value = cell(cells, "default");
        const std::string limits = cell(cells, "range");
        key.limits = parse_range(limits);
        key.is_choice = !key.limits && limits.find(',') != std::string::npos;
        key.is_text = key.is_choice || cell(cells, "unit") == "text";
        key.is_required = key.value == "required";
        keys_.push_back(key);
    }

    std::string cell(const std::vector<std::string>& cells,
                     const std::string& column) const
    {
        const auto it = std::ranges::find(columns_, column);
        return it == columns_.end()
                   ? ""
                   : cells.at(static_cast<std::size_t>(it - columns_.begin()));
    }

    const page page_;
    std::string prefix_;
    bool is_wanted_ = true;
    std::vector<std::string> columns_;
    std::vector<documented_key> keys_;
};

/// Text of a TOML value: numbers, flags, lists and quoted text stay, other
/// text is quoted.
std::string toml_value(const std::string& text)
{
    static const std::regex bare(R"(^(\d+(\.\d+)?|true|false|\[.*|".*)$)");
    return std::regex_search(text, bare) ? text : '"' + text + '"';
}

std::string leaf_of(const std::string& name)
{
    return name.substr(name.rfind('.') + 1);
}

/// One step above or below a bound: one microsecond, one byte or 1.
std::string beside(const std::string& bound, int step)
{
    static const std::map<std::string, std::pair<std::int64_t, std::string>>
        units{{"us", {1, "us"}},         {"ms", {1000, "us"}},
              {"s", {1000000, "us"}},    {"min", {60000000, "us"}},
              {"h", {3600000000, "us"}}, {"B", {1, "B"}},
              {"KiB", {1 << 10, "B"}},   {"MiB", {1 << 20, "B"}}};
    std::size_t n = 0;
    const double number = std::stod(bound, &n);
    if (n == bound.size() && bound.find('.') != std::string::npos)
        return std::to_string(number + step);
    const std::int64_t whole = std::stoll(bound, &n);
    if (n == bound.size())
        return std::to_string(whole + step);
    const auto& [factor, unit] = units.at(bound.substr(n));
    return '"' + std::to_string(whole * factor + step) + unit + '"';
}

/// Address, or a name, for a key without a default.
std::string required_value(const documented_key& key)
{
    static const std::vector<std::string> addresses{
        "platform", "upstream", "store", "listen", "platform_api.address"};
    return std::ranges::count(addresses, key.name) > 0 ? "\"127.0.0.1:1\""
                                                       : "\"some\"";
}

class settings_docs : public testing::TestWithParam<page>
{
protected:
    using chooser =
        std::function<std::optional<std::string>(const documented_key&)>;

    /// Checks one file with the values that `value_of` gives; keys without
    /// one are left out.
    command_result check(const chooser& value_of)
    {
        std::ofstream(folder_.path() / "settings.toml") << [&]
        {
            std::string text;
            for (const documented_key& key : keys_)
                if (const auto value = value_of(key))
                    text += key.name + " = " + *value + "\n";
            return text;
        }();
        return run_command(
            GetParam().program,
            {"--config", folder_.path() / "settings.toml", "--check-config"});
    }

    static bool is_out_of_range(const command_result& r,
                                const documented_key& key)
    {
        return r.output.find(": " + key.name + ": out of range") !=
               std::string::npos;
    }

    /// Value of a key whose range is not tried.
    static std::optional<std::string> needed(const documented_key& key)
    {
        return key.is_required ? std::optional(required_value(key))
                               : std::nullopt;
    }

    scratch_folder folder_;
    std::vector<documented_key> keys_ = page_reader(GetParam()).read();
};

// Guards against a key that a parser gains or loses without its page. A name
// in several tables counts as often as it stands there.
TEST_P(settings_docs, parser_and_page_name_the_same_keys)
{
    std::multiset<std::string> documented;
    for (const documented_key& key : keys_)
        if (key.name != "log.level")
            documented.insert(leaf_of(key.name));
    std::multiset<std::string> parsed;
    const std::string text = read_file(source / GetParam().parser);
    static const std::regex getter(
        R"([.](text|texts|integer|number|flag|time|size|address|addresses)\()"
        R"(\s*"(\w+)\")");
    for (std::sregex_iterator it(text.begin(), text.end(), getter), end;
         it != end; ++it)
        if ((*it)[2] != "level")
            parsed.insert((*it)[2]);
    EXPECT_FALSE(parsed.empty());
    EXPECT_EQ(documented, parsed);
}

// Guards against a documented key that the program does not know, and against
// a default that it refuses.
TEST_P(settings_docs, documented_defaults_are_accepted)
{
    const command_result r = check(
        [](const documented_key& key) -> std::optional<std::string>
        {
            if (key.is_required || key.value == "empty")
                return needed(key);
            return key.is_text && !key.value.starts_with("\"")
                       ? '"' + key.value + '"'
                       : toml_value(key.value);
        });
    EXPECT_EQ(r.exit_code, 0) << r.output;
}

// Guards against a documented range that is narrower than the real one.
TEST_P(settings_docs, documented_bounds_are_in_range)
{
    for (const auto bound : {&range::lowest, &range::highest})
    {
        const command_result r = check(
            [&](const documented_key& key)
            {
                return key.limits
                           ? std::optional(toml_value((*key.limits).*bound))
                           : needed(key);
            });
        EXPECT_EQ(r.output.find("out of range"), std::string::npos) << r.output;
        EXPECT_EQ(r.output.find("expected "), std::string::npos) << r.output;
    }
}

// Guards against a documented range that is wider than the real one.
TEST_P(settings_docs, values_beside_documented_bounds_are_refused)
{
    for (const int step : {-1, 1})
    {
        const command_result r = check(
            [&](const documented_key& key)
            {
                const auto bound = step < 0 ? &range::lowest : &range::highest;
                return key.limits
                           ? std::optional(beside((*key.limits).*bound, step))
                           : needed(key);
            });
        for (const documented_key& key : keys_)
            EXPECT_EQ(is_out_of_range(r, key), key.limits.has_value())
                << key.name << " step " << step << "\n"
                << r.output;
    }
}

// Guards against a list of choices that the program does not check.
TEST_P(settings_docs, other_choices_are_refused)
{
    const command_result r = check(
        [](const documented_key& key)
        {
            return key.is_choice ? std::optional<std::string>("\"other\"")
                                 : needed(key);
        });
    for (const documented_key& key : keys_)
        EXPECT_EQ(r.output.find(": " + key.name + ": ") != std::string::npos,
                  key.is_choice)
            << key.name << "\n"
            << r.output;
}

INSTANTIATE_TEST_SUITE_P(
    programs, settings_docs,
    testing::Values(
        page{"poplar-entry", "settings-entry.md", "", "entry/settings.cpp"},
        page{"poplar-agent", "settings-agent.md", "", "agent/settings.cpp"},
        page{"poplar-gateway", "settings-gateway.md", "",
             "gateway/settings.cpp"},
        page{"standin-platform", "settings-platform-standin.md", "",
             "standin/platform/settings.cpp"},
        page{"standin-engine", "settings-standins.md", "standin-engine",
             "standin/engine/settings.cpp"},
        page{"standin-service", "settings-standins.md", "standin-service",
             "standin/service/service.cpp"},
        page{"standin-weights", "settings-standins.md", "standin-weights",
             "standin/weights/store.cpp"}),
    [](const auto& info)
    {
        std::string name = info.param.program;
        std::ranges::replace(name, '-', '_');
        return name;
    });

} // namespace
