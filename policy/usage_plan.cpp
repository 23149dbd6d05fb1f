#include "policy/usage_plan.hpp"

#include <algorithm>

namespace poplar::policy
{

namespace
{

window_number next(window_number window)
{
    return window_number(window.value + 1);
}

unix_time end_of(const usage_plan_settings& settings, window_number window)
{
    return window_begin(next(window), settings.window);
}

} // namespace

std::optional<window_number> last_settled(const usage_plan_settings& settings,
                                          unix_time now)
{
    const window_number present =
        window_at(now - settings.settle, settings.window);
    if (present.value == 0)
        return std::nullopt;
    return window_number(present.value - 1);
}

usage_plan plan_usage(const usage_plan_settings& settings,
                      const usage_plan_input& input)
{
    usage_plan plan{input.record, {}};
    const auto last = last_settled(settings, input.now);
    if (!last)
        return plan;
    const window_number first = input.record.fixed_through
                                    ? next(*input.record.fixed_through)
                                    : window_at(input.started, settings.window);
    if (*last < first)
        return plan;
    std::erase_if(plan.record.pending, [&](const usage_report& it)
                  { return input.confirmed.contains(it.window); });
    const window_number oldest =
        window_at(std::max(input.now - settings.max_age, unix_time::zero()),
                  settings.window);
    for (const usage_report& it : plan.record.pending)
        if (it.window < oldest)
            plan.abandoned.push_back(it.window);
    std::erase_if(plan.record.pending,
                  [&](const usage_report& it) { return it.window < oldest; });
    if (first < oldest)
        plan.abandoned.push_back(first);
    for (window_number w = std::max(first, oldest); w <= *last; w = next(w))
    {
        const auto own = input.own_fixed.find(w);
        if (own != input.own_fixed.end())
        {
            // The store was restored; the report may have been sent already.
            if (!input.confirmed.contains(w))
                plan.record.pending.push_back({w, own->second});
        }
        else if (input.restored && end_of(settings, w) <= *input.restored)
            plan.abandoned.push_back(w);
        else
            plan.record.pending.push_back({w, input.total(w)});
    }
    plan.record.fixed_through = *last;
    return plan;
}

} // namespace poplar::policy
