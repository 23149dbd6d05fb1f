#include "sheet/diff.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplar::sheet
{

namespace
{

using nlohmann::json;

struct named_value
{
    std::string key;
    std::string value;
};

/// Item of a sheet as text, so that all kinds of items compare alike.
struct flat_item
{
    std::string name;
    std::vector<named_value> values;
};

using flat_items = std::vector<flat_item>;

std::string time_text(duration d)
{
    if (d.count() % 1000 != 0)
        return std::to_string(d.count()) + "us";
    return std::to_string(to_milliseconds(d)) + "ms";
}

std::string number_text(double n)
{
    return json(n).dump();
}

std::string flag_text(bool flag)
{
    return flag ? "true" : "false";
}

template <class Items, class Text>
std::string list_text(const Items& items, Text&& text)
{
    std::string result;
    for (const auto& it : items)
        result += (result.empty() ? "" : ", ") + text(it);
    return "[" + result + "]";
}

flat_item flatten(const rank& r)
{
    return {r.name,
            {{"first_token_target", time_text(r.first_token_target)},
             {"token_interval_target", time_text(r.token_interval_target)},
             {"guaranteed_share", number_text(r.guaranteed_share)},
             {"worth", number_text(r.worth)},
             {"engine_priority", std::to_string(r.engine_priority)}}};
}

flat_item flatten(const engine_group& g)
{
    return {g.name.value,
            {{"model", g.model.value},
             {"version", g.version.value},
             {"adapters", list_text(g.adapters, [](const adapter_id& a)
                                    { return a.value; })},
             {"checks_fencing", flag_text(g.checks_fencing)},
             {"roles", to_string(g.roles)},
             {"prefill_engines", std::to_string(g.prefill_engines)},
             {"split_threshold", std::to_string(g.split_threshold.value)},
             {"max_changing", std::to_string(g.max_changing)}}};
}

flat_item flatten(const service& s)
{
    const auto call_text = [](const once_call& c)
    {
        return c.method + " " + c.path_prefix;
    };
    return {s.name.value,
            {{"once", list_text(s.once, call_text)},
             {"checks_fencing", flag_text(s.checks_fencing)},
             {"timeout", time_text(s.timeout)}}};
}

flat_item flatten(const tenant& t)
{
    return {t.name.value,
            {{"weight", number_text(t.weight)},
             {"rank", t.rank},
             {"most_urgent_rank", t.most_urgent_rank}}};
}

flat_item flatten(const instance_id& instance)
{
    return {instance.value, {}};
}

template <class Item>
flat_items flatten_all(const std::vector<Item>& items)
{
    flat_items result;
    for (const Item& it : items)
        result.push_back(flatten(it));
    return result;
}

const flat_item* find_item(const flat_items& items, const std::string& name)
{
    const auto it = std::ranges::find(items, name, &flat_item::name);
    return it == items.end() ? nullptr : &*it;
}

/// Collects the differences of one subject.
struct collector
{
    difference_subject subject;
    std::vector<difference>& out;

    void compare_values(const flat_item& before, const flat_item& after) const
    {
        for (std::size_t i = 0; i < before.values.size(); ++i)
        {
            const named_value& b = before.values[i];
            const named_value& a = after.values[i];
            if (a.value != b.value)
                out.push_back({difference_kind::changed, subject, before.name,
                               a.key, b.value, a.value});
        }
    }

    void compare(const flat_items& before, const flat_items& after) const
    {
        for (const flat_item& b : before)
        {
            if (const flat_item* a = find_item(after, b.name))
                compare_values(b, *a);
            else
                out.push_back(
                    {difference_kind::removed, subject, b.name, "", "", ""});
        }
        for (const flat_item& a : after)
            if (!find_item(before, a.name))
                out.push_back(
                    {difference_kind::added, subject, a.name, "", "", ""});
    }
};

/// Names of the ranks of `s` that `other` has too, in the order of `s`.
std::string common_order(const sheet& s, const sheet& other)
{
    std::vector<rank> common;
    std::ranges::copy_if(s.ranks, std::back_inserter(common),
                         [&](const rank& r)
                         {
                             return std::ranges::find(other.ranks, r.name,
                                                      &rank::name) !=
                                    other.ranks.end();
                         });
    return list_text(common, [](const rank& r) { return r.name; });
}

std::string line_text(const difference& d)
{
    const std::string subject = to_string(d.subject) + " " + d.name;
    switch (d.kind)
    {
    case difference_kind::added:
        return "+ " + subject;
    case difference_kind::removed:
        return "- " + subject;
    case difference_kind::changed:
        return "~ " + subject + ": " + d.field + " " +
               (d.before.empty() ? "(none)" : d.before) + " -> " +
               (d.after.empty() ? "(none)" : d.after);
    }
    throw std::logic_error("difference_kind");
}

} // namespace

std::string to_string(difference_kind kind)
{
    switch (kind)
    {
    case difference_kind::added:
        return "added";
    case difference_kind::removed:
        return "removed";
    case difference_kind::changed:
        return "changed";
    }
    throw std::logic_error("difference_kind");
}

std::string to_string(difference_subject subject)
{
    switch (subject)
    {
    case difference_subject::rank:
        return "rank";
    case difference_subject::rank_order:
        return "rank_order";
    case difference_subject::group:
        return "group";
    case difference_subject::service:
        return "service";
    case difference_subject::tenant:
        return "tenant";
    case difference_subject::drained:
        return "drained";
    case difference_subject::withdrawn:
        return "withdrawn";
    }
    throw std::logic_error("difference_subject");
}

std::vector<difference> diff(const sheet& before, const sheet& after)
{
    using subject = difference_subject;
    std::vector<difference> out;
    const auto compare = [&](subject s, const auto& b, const auto& a)
    {
        collector{s, out}.compare(flatten_all(b), flatten_all(a));
    };
    compare(subject::rank, before.ranks, after.ranks);
    const std::string old_order = common_order(before, after);
    const std::string new_order = common_order(after, before);
    if (old_order != new_order)
        out.push_back({difference_kind::changed, subject::rank_order, "ranks",
                       "order", old_order, new_order});
    compare(subject::group, before.groups, after.groups);
    compare(subject::service, before.services, after.services);
    compare(subject::tenant, before.tenants, after.tenants);
    compare(subject::drained, before.drained, after.drained);
    compare(subject::withdrawn, before.withdrawn, after.withdrawn);
    return out;
}

std::string to_text(const std::vector<difference>& differences)
{
    std::string text;
    for (const difference& d : differences)
        text += line_text(d) + "\n";
    return text;
}

std::string to_json(const std::vector<difference>& differences)
{
    json all = json::array();
    for (const difference& d : differences)
        all.push_back({{"kind", to_string(d.kind)},
                       {"subject", to_string(d.subject)},
                       {"name", d.name},
                       {"field", d.field},
                       {"before", d.before},
                       {"after", d.after}});
    return all.dump();
}

} // namespace poplar::sheet
