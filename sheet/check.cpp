#include "sheet/check.hpp"

#include <algorithm>
#include <set>

namespace poplar::sheet
{

namespace
{

using settings::reader;

constexpr std::size_t max_name_bytes = 128;
/// Shares are written as decimal fractions; 0.1 + 0.2 + 0.7 may exceed 1 by
/// the rounding of binary fractions.
constexpr double share_rounding = 1e-9;

/// Finds names that are used twice.
class name_register
{
public:
    explicit name_register(std::string subject) : subject_(std::move(subject))
    {
    }

    void add(reader& at, const std::string& key, const std::string& name)
    {
        if (!name.empty() && !names_.insert(name).second)
            at.fail(key, subject_ + " \"" + name + "\" is used twice");
    }

    bool contains(const std::string& name) const
    {
        return names_.contains(name);
    }

private:
    std::string subject_;
    std::set<std::string> names_;
};

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

void check_ranks(const sheet& s, reader& all, item_readers& items)
{
    if (s.ranks.empty())
        all.fail("rank", "the sheet needs at least one rank");
    name_register names("the rank name");
    double sum = 0;
    for (std::size_t i = 0; i < s.ranks.size(); ++i)
    {
        names.add(items.ranks[i], "name", s.ranks[i].name);
        sum += s.ranks[i].guaranteed_share;
        if (sum > 1 + share_rounding)
        {
            items.ranks[i].fail("guaranteed_share",
                                "the guaranteed shares up to this rank add up "
                                "to more than 1");
            sum = 0;
        }
    }
}

void check_adapters(const engine_group& group, reader& at,
                    const name_register& models)
{
    name_register names("the adapter name");
    for (const adapter_id& adapter : group.adapters)
    {
        names.add(at, "adapters", adapter.value);
        if (models.contains(adapter.value))
            at.fail("adapters", "the adapter name \"" + adapter.value +
                                    "\" is also the name of a model");
    }
}

/// Groups of engines and services share the names of instance groups.
void check_groups(const sheet& s, item_readers& items)
{
    name_register names("the group or service name");
    name_register models("the model name");
    for (std::size_t i = 0; i < s.groups.size(); ++i)
    {
        names.add(items.groups[i], "name", s.groups[i].name.value);
        models.add(items.groups[i], "model", s.groups[i].model.value);
    }
    for (std::size_t i = 0; i < s.groups.size(); ++i)
        check_adapters(s.groups[i], items.groups[i], models);
    for (std::size_t i = 0; i < s.services.size(); ++i)
        names.add(items.services[i], "name", s.services[i].name.value);
}

/// Returns the place of the rank, or the number of ranks when it is unknown.
std::size_t check_rank_name(const sheet& s, reader& at, const std::string& key,
                            const std::string& name)
{
    const auto it = std::ranges::find(s.ranks, name, &rank::name);
    if (it == s.ranks.end() && !name.empty())
        at.fail(key, "the sheet has no rank \"" + name + "\"");
    return static_cast<std::size_t>(it - s.ranks.begin());
}

void check_tenants(const sheet& s, item_readers& items)
{
    name_register names("the tenant name");
    for (std::size_t i = 0; i < s.tenants.size(); ++i)
    {
        const tenant& t = s.tenants[i];
        reader& at = items.tenants[i];
        names.add(at, "name", t.name.value);
        const std::size_t usual = check_rank_name(s, at, "rank", t.rank);
        const std::size_t limit =
            check_rank_name(s, at, "most_urgent_rank", t.most_urgent_rank);
        if (usual < limit && limit < s.ranks.size())
            at.fail("rank", "the default rank is more urgent than "
                            "most_urgent_rank allows");
    }
}

void check_instances(const sheet& s, reader& all)
{
    name_register drained("the instance");
    name_register withdrawn("the instance");
    for (const instance_id& it : s.drained)
        drained.add(all, "drained", it.value);
    for (const instance_id& it : s.withdrawn)
    {
        withdrawn.add(all, "withdrawn", it.value);
        if (drained.contains(it.value))
            all.fail("withdrawn", "the instance \"" + it.value +
                                      "\" is drained and withdrawn at once");
    }
}

} // namespace

bool is_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_bytes)
        return false;
    const auto allowed = [](char c)
    {
        return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-' ||
               c == ':';
    };
    return is_letter_or_digit(text.front()) &&
           std::ranges::all_of(text, allowed);
}

void check_items(const sheet& s, reader& all, item_readers& items)
{
    check_ranks(s, all, items);
    check_groups(s, items);
    check_tenants(s, items);
    check_instances(s, all);
}

} // namespace poplar::sheet
