#include "sheet/sheet.hpp"

#include "sheet/check.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace poplar::sheet
{

namespace
{

using settings::reader;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Longest targets: work of the night may wait until the morning.
constexpr duration longest_first_token = std::chrono::hours(24);
constexpr duration longest_interval = minutes(10);
constexpr duration longest_call = minutes(10);
constexpr double highest_worth = 1e6;
constexpr double highest_weight = 1e6;
constexpr double lowest_weight = 1e-3;
constexpr int highest_priority = 1000;
constexpr unsigned most_engines = 100000;
constexpr std::int64_t highest_split_threshold = 10'000'000;

constexpr std::array<const char*, 5> methods{"GET", "POST", "PUT", "PATCH",
                                             "DELETE"};

void check_name(reader& at, const std::string& key, const std::string& name)
{
    if (!is_name(name))
        at.fail(key, "\"" + name +
                         "\" is not a name: use 1 to 128 letters, digits, "
                         "'.', '_', '-' and ':'");
}

std::string read_name(reader& at, const std::string& key)
{
    std::string name = at.text(key);
    if (at.has(key))
        check_name(at, key, name);
    return name;
}

std::vector<std::string> read_names(reader& at, const std::string& key)
{
    std::vector<std::string> names = at.texts(key);
    for (const std::string& name : names)
        check_name(at, key, name);
    return names;
}

template <class Id>
std::vector<Id> read_ids(reader& at, const std::string& key)
{
    std::vector<Id> ids;
    for (const std::string& name : read_names(at, key))
        ids.emplace_back(name);
    return ids;
}

duration read_target(reader& at, const std::string& key, duration longest)
{
    if (!at.has(key))
        at.fail(key, "the key is missing");
    return at.time(key, longest, milliseconds(1), longest);
}

rank parse_rank(reader& at)
{
    rank r;
    r.name = read_name(at, "name");
    r.first_token_target =
        read_target(at, "first_token_target", longest_first_token);
    r.token_interval_target =
        read_target(at, "token_interval_target", longest_interval);
    r.guaranteed_share = at.number("guaranteed_share", 0, 0, 1);
    r.worth = at.number("worth", 1, 0, highest_worth);
    r.engine_priority = static_cast<int>(
        at.integer("engine_priority", 0, -highest_priority, highest_priority));
    return r;
}

role_policy parse_role_policy(reader& at)
{
    const std::string text = at.text("roles", "automatic");
    for (const role_policy p :
         {role_policy::automatic, role_policy::all_mixed, role_policy::fixed})
        if (text == to_string(p))
            return p;
    at.fail("roles", "expected \"automatic\", \"all_mixed\" or \"fixed\"");
    return role_policy::automatic;
}

void parse_roles(reader& at, engine_group& g)
{
    g.roles = parse_role_policy(at);
    const bool is_fixed = g.roles == role_policy::fixed;
    g.prefill_engines = static_cast<unsigned>(
        at.integer("prefill_engines", 0, 0, most_engines));
    if (at.has("prefill_engines") && !is_fixed)
        at.fail("prefill_engines", "only allowed with roles = \"fixed\"");
    if (is_fixed && g.prefill_engines == 0)
        at.fail("prefill_engines", "roles = \"fixed\" needs at least 1");
}

engine_group parse_group(reader& at)
{
    engine_group g;
    g.name = group_id(read_name(at, "name"));
    g.model = model_id(read_name(at, "model"));
    g.version = model_version(read_name(at, "version"));
    g.adapters = read_ids<adapter_id>(at, "adapters");
    g.checks_fencing = at.flag("checks_fencing", false);
    parse_roles(at, g);
    g.split_threshold = token_count(
        at.integer("split_threshold", 2048, 1, highest_split_threshold));
    g.max_changing =
        static_cast<unsigned>(at.integer("max_changing", 1, 1, most_engines));
    return g;
}

bool is_plain_path(const std::string& path)
{
    const bool is_plain = path.find_first_of("%?#;\\ \t") == std::string::npos;
    const bool has_dots = (path + "/").find("/./") != std::string::npos ||
                          (path + "/").find("/../") != std::string::npos;
    return path.starts_with('/') && is_plain && !has_dots &&
           path.find("//") == std::string::npos;
}

once_call parse_once(reader& at, const std::string& text)
{
    const std::size_t space = text.find(' ');
    const std::string method = text.substr(0, space);
    const std::string path =
        space == std::string::npos ? "" : text.substr(space + 1);
    const std::string quoted = "\"" + text + "\": ";
    if (std::ranges::find(methods, method) == methods.end())
        at.fail("once", quoted + "expected GET, POST, PUT, PATCH or DELETE, "
                                 "one space and a path");
    else if (!is_plain_path(path))
        at.fail("once", quoted + "the path must start with '/' and hold no "
                                 "empty, \".\" or \"..\" segment, space, "
                                 "query, escape or parameter");
    else if (path.size() > 1 && path.ends_with('/'))
        at.fail("once", quoted + "the path must not end with '/'");
    return {method, path};
}

std::vector<once_call> parse_once_calls(reader& at)
{
    std::vector<once_call> calls;
    for (const std::string& text : at.texts("once"))
    {
        const once_call call = parse_once(at, text);
        const auto is_same = [&](const once_call& c)
        {
            return c.method == call.method && c.path_prefix == call.path_prefix;
        };
        if (std::ranges::any_of(calls, is_same))
            at.fail("once", "\"" + text + "\" is listed twice");
        calls.push_back(call);
    }
    return calls;
}

service parse_service(reader& at)
{
    service s;
    s.name = service_id(read_name(at, "name"));
    s.once = parse_once_calls(at);
    s.checks_fencing = at.flag("checks_fencing", false);
    s.timeout = at.time("timeout", seconds(10), milliseconds(10), longest_call);
    return s;
}

tenant parse_tenant(reader& at)
{
    tenant t;
    t.name = tenant_id(read_name(at, "name"));
    t.weight = at.number("weight", 1, lowest_weight, highest_weight);
    t.rank = at.text("rank", "");
    t.most_urgent_rank = at.text("most_urgent_rank", "");
    return t;
}

template <class Item>
std::vector<Item> parse_items(std::vector<reader>& readers,
                              Item (*parse)(reader&))
{
    std::vector<Item> items;
    items.reserve(readers.size());
    for (reader& at : readers)
        items.push_back(parse(at));
    return items;
}

} // namespace

sheet parse_sheet(const std::string& text, const std::string& file)
{
    if (text.size() > max_sheet_bytes)
        throw settings::settings_error(
            {{file, 0, "", "the sheet is longer than 512 KiB"}});
    reader all = reader::from_text(text, file);
    item_readers items{all.tables("rank"), all.tables("group"),
                       all.tables("service"), all.tables("tenant")};
    sheet s;
    s.ranks = parse_items(items.ranks, parse_rank);
    s.groups = parse_items(items.groups, parse_group);
    s.services = parse_items(items.services, parse_service);
    s.tenants = parse_items(items.tenants, parse_tenant);
    s.drained = read_ids<instance_id>(all, "drained");
    s.withdrawn = read_ids<instance_id>(all, "withdrawn");
    check_items(s, all, items);
    all.finish();
    return s;
}

upstream_state state_of(const sheet& s, const instance_id& instance)
{
    if (std::ranges::find(s.withdrawn, instance) != s.withdrawn.end())
        return upstream_state::withdrawn;
    if (std::ranges::find(s.drained, instance) != s.drained.end())
        return upstream_state::draining;
    return upstream_state::active;
}

const engine_group* find_group(const sheet& s, const group_id& name)
{
    const auto it = std::ranges::find(s.groups, name, &engine_group::name);
    return it == s.groups.end() ? nullptr : &*it;
}

const service* find_service(const sheet& s, const service_id& name)
{
    const auto it = std::ranges::find(s.services, name, &service::name);
    return it == s.services.end() ? nullptr : &*it;
}

std::string to_string(engine_role role)
{
    switch (role)
    {
    case engine_role::unassigned:
        return "unassigned";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        return "mixed";
    }
    throw std::logic_error("engine_role");
}

std::string to_string(upstream_state state)
{
    switch (state)
    {
    case upstream_state::active:
        return "active";
    case upstream_state::draining:
        return "draining";
    case upstream_state::withdrawn:
        return "withdrawn";
    }
    throw std::logic_error("upstream_state");
}

std::string to_string(role_policy policy)
{
    switch (policy)
    {
    case role_policy::automatic:
        return "automatic";
    case role_policy::all_mixed:
        return "all_mixed";
    case role_policy::fixed:
        return "fixed";
    }
    throw std::logic_error("role_policy");
}

} // namespace poplar::sheet
