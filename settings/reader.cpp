#include "settings/reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <fstream>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace poplar::settings
{

namespace
{

struct unit
{
    const char* name;
    std::int64_t factor;
};

constexpr std::array<unit, 6> time_units{{{"us", 1},
                                          {"ms", 1000},
                                          {"s", 1000000},
                                          {"min", 60000000},
                                          {"h", 3600000000},
                                          {"d", 86400000000}}};

constexpr std::array<unit, 4> size_units{
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}}};

/// Parses "NUMBER UNIT"; throws parse_error.
template <class Units>
std::int64_t parse_with_unit(const std::string& text, const Units& units)
{
    std::int64_t n = 0;
    const char* end = text.data() + text.size();
    auto [it, ec] = std::from_chars(text.data(), end, n);
    const std::string name(it, end);
    auto found = std::ranges::find_if(units, [&](const unit& u)
                                      { return name == u.name; });
    if (ec != std::errc() || found == units.end())
        throw parse_error("expected a whole number with a unit, such as \"" +
                          std::string("10") + units[1].name + "\"");
    std::int64_t value = 0;
    if (__builtin_mul_overflow(n, found->factor, &value))
        throw parse_error("the value is too large");
    return value;
}

std::string all_faults(const std::vector<fault>& faults)
{
    std::string text;
    for (const fault& f : faults)
        text += (text.empty() ? "" : "\n") + to_string(f);
    return text;
}

} // namespace

std::string to_string(const fault& f)
{
    return f.file + ":" + std::to_string(f.line) + ": " +
           (f.key.empty() ? "" : f.key + ": ") + f.reason;
}

settings_error::settings_error(std::vector<fault> faults)
    : error(all_faults(faults)), faults_(std::move(faults))
{
}

struct reader::document
{
    std::string file;
    toml::table root;
    std::deque<toml::table> placeholders; ///< Tables absent from the file.
    std::vector<fault> faults;
    std::set<const toml::node*> used;
};

struct reader::node
{
    const toml::table* table;
    std::string path;

    std::string dotted(const std::string& key) const
    {
        return path.empty() ? key : path + "." + key;
    }
};

reader::reader(std::shared_ptr<document> doc, std::unique_ptr<node> at)
    : document_(std::move(doc)), node_(std::move(at))
{
}

reader::~reader() = default;
reader::reader(reader&&) noexcept = default;
reader& reader::operator=(reader&&) noexcept = default;

reader reader::from_text(const std::string& text, const std::string& file)
{
    auto doc = std::make_shared<document>();
    doc->file = file;
    try
    {
        doc->root = toml::parse(text, file);
    }
    catch (const toml::parse_error& ec)
    {
        throw settings_error({{file, ec.source().begin.line, "",
                               std::string(ec.description())}});
    }
    auto at = std::make_unique<node>(node{&doc->root, ""});
    return {std::move(doc), std::move(at)};
}

reader reader::from_file(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        throw settings_error({{file, 0, "", "the file cannot be read"}});
    std::stringstream buf;
    buf << in.rdbuf();
    return from_text(buf.str(), file);
}

const std::string& reader::file() const
{
    return document_->file;
}

bool reader::has(const std::string& key) const
{
    return node_->table->contains(key);
}

namespace
{

/// Looks a key up and marks it as known; `present` tells a wrong type from
/// an absent key.
template <class T>
auto find(const toml::table& table, std::set<const toml::node*>& used,
          const std::string& key, bool& present)
    -> decltype(std::declval<const toml::node&>().as<T>())
{
    const toml::node* n = table.get(key);
    present = n != nullptr;
    if (!n)
        return nullptr;
    used.insert(n);
    return n->as<T>();
}

} // namespace

std::string reader::text(const std::string& key)
{
    if (!has(key))
        fail(key, "the key is missing");
    return text(key, "");
}

std::string reader::text(const std::string& key, const std::string& otherwise)
{
    bool present = false;
    auto* n = find<std::string>(*node_->table, document_->used, key, present);
    if (n)
        return n->get();
    if (present)
        fail(key, "expected text");
    return otherwise;
}

std::int64_t reader::integer(const std::string& key, std::int64_t otherwise,
                             std::int64_t lowest, std::int64_t highest)
{
    bool present = false;
    auto* n = find<std::int64_t>(*node_->table, document_->used, key, present);
    if (present && !n)
        fail(key, "expected a whole number");
    if (!n)
        return otherwise;
    if (n->get() >= lowest && n->get() <= highest)
        return n->get();
    fail(key, "out of range " + std::to_string(lowest) + " to " +
                  std::to_string(highest));
    return otherwise;
}

double reader::number(const std::string& key, double otherwise, double lowest,
                      double highest)
{
    const toml::node* n = node_->table->get(key);
    if (!n)
        return otherwise;
    document_->used.insert(n);
    auto value = n->value<double>();
    if (!value || n->is_string() || n->is_boolean())
    {
        fail(key, "expected a number");
        return otherwise;
    }
    if (*value >= lowest && *value <= highest)
        return *value;
    fail(key, "out of range " + std::to_string(lowest) + " to " +
                  std::to_string(highest));
    return otherwise;
}

bool reader::flag(const std::string& key, bool otherwise)
{
    bool present = false;
    auto* n = find<bool>(*node_->table, document_->used, key, present);
    if (present && !n)
        fail(key, "expected true or false");
    return n ? n->get() : otherwise;
}

duration reader::time(const std::string& key, duration otherwise,
                      duration lowest, duration highest)
{
    if (!has(key))
        return otherwise;
    try
    {
        const duration d(parse_with_unit(text(key, ""), time_units));
        if (d >= lowest && d <= highest)
            return d;
        fail(key, "out of range " + std::to_string(to_milliseconds(lowest)) +
                      "ms to " + std::to_string(to_milliseconds(highest)) +
                      "ms");
    }
    catch (const parse_error& ec)
    {
        fail(key, ec.what());
    }
    return otherwise;
}

byte_count reader::size(const std::string& key, byte_count otherwise,
                        byte_count lowest, byte_count highest)
{
    if (!has(key))
        return otherwise;
    try
    {
        const byte_count n(parse_with_unit(text(key, ""), size_units));
        if (n >= lowest && n <= highest)
            return n;
        fail(key, "out of range " + std::to_string(lowest.value) + "B to " +
                      std::to_string(highest.value) + "B");
    }
    catch (const parse_error& ec)
    {
        fail(key, ec.what());
    }
    return otherwise;
}

ip_address reader::address(const std::string& key)
{
    if (!has(key))
        fail(key, "the key is missing");
    return address(key, {});
}

ip_address reader::address(const std::string& key, const ip_address& otherwise)
{
    if (!has(key))
        return otherwise;
    try
    {
        return parse_ip_address(text(key, ""));
    }
    catch (const parse_error& ec)
    {
        fail(key, ec.what());
    }
    return otherwise;
}

std::vector<std::string> reader::texts(const std::string& key)
{
    bool present = false;
    auto* n = find<toml::array>(*node_->table, document_->used, key, present);
    if (present && !n)
        fail(key, "expected an array of text");
    std::vector<std::string> values;
    if (!n)
        return values;
    for (const toml::node& it : *n)
    {
        if (auto* s = it.as_string())
            values.push_back(s->get());
        else
            fail(key, "expected an array of text");
    }
    return values;
}

std::vector<ip_address> reader::addresses(const std::string& key)
{
    std::vector<ip_address> values;
    for (const std::string& it : texts(key))
    {
        try
        {
            values.push_back(parse_ip_address(it));
        }
        catch (const parse_error& ec)
        {
            fail(key, ec.what());
        }
    }
    return values;
}

reader reader::table(const std::string& key)
{
    bool present = false;
    const toml::table* n =
        find<toml::table>(*node_->table, document_->used, key, present);
    if (present && !n)
        fail(key, "expected a table");
    if (!n)
        n = &document_->placeholders.emplace_back();
    return {document_, std::make_unique<node>(node{n, node_->dotted(key)})};
}

std::vector<reader> reader::tables(const std::string& key)
{
    bool present = false;
    auto* n = find<toml::array>(*node_->table, document_->used, key, present);
    if (present && !n)
        fail(key, "expected an array of tables");
    std::vector<reader> values;
    if (!n)
        return values;
    for (std::size_t i = 0; i < n->size(); ++i)
    {
        const std::string path =
            node_->dotted(key) + "[" + std::to_string(i) + "]";
        if (auto* t = n->get(i)->as_table())
            values.push_back(
                reader(document_, std::make_unique<node>(node{t, path})));
        else
            fail(key, "expected an array of tables");
    }
    return values;
}

void reader::fail(const std::string& key, const std::string& reason)
{
    const toml::node* n = node_->table->get(key);
    const std::uint32_t line =
        n ? n->source().begin.line : node_->table->source().begin.line;
    document_->faults.push_back(
        {document_->file, line, node_->dotted(key), reason});
}

namespace
{

/// Records each key that no getter asked for.
void collect_unused(const toml::table& table, const std::string& path,
                    const std::set<const toml::node*>& used,
                    const std::string& file, std::vector<fault>& faults)
{
    for (auto&& [key, value] : table)
    {
        const std::string dotted =
            (path.empty() ? "" : path + ".") + std::string(key.str());
        if (!used.contains(&value))
        {
            faults.push_back(
                {file, key.source().begin.line, dotted, "unknown key"});
            continue;
        }
        if (auto* t = value.as_table())
            collect_unused(*t, dotted, used, file, faults);
        if (auto* a = value.as_array())
        {
            for (std::size_t i = 0; i < a->size(); ++i)
                if (auto* t = a->get(i)->as_table())
                    collect_unused(*t, dotted + "[" + std::to_string(i) + "]",
                                   used, file, faults);
        }
    }
}

} // namespace

void reader::finish()
{
    collect_unused(*node_->table, node_->path, document_->used, document_->file,
                   document_->faults);
    std::ranges::stable_sort(document_->faults, {}, &fault::line);
    if (!document_->faults.empty())
        throw settings_error(document_->faults);
}

} // namespace poplar::settings
