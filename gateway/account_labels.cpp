#include "gateway/account_labels.hpp"

#include <algorithm>

namespace poplar::gateway
{

account_labels::account_labels(
    std::size_t max_named, std::function<void(const std::string&)> on_dropped)
    : max_named_(max_named), on_dropped_(std::move(on_dropped))
{
}

std::string account_labels::count(const account_name& account)
{
    const std::uint64_t n = ++requests_[account.value];
    const auto it = named_.find(account.value);
    if (it != named_.end())
    {
        it->second = n;
        return account.value;
    }
    if (named_.size() >= max_named_)
    {
        const auto least = std::ranges::min_element(
            named_, {}, [](const auto& entry) { return entry.second; });
        if (least == named_.end() || n < replacement_factor * least->second)
            return other;
        on_dropped_(least->first);
        named_.erase(least);
    }
    named_[account.value] = n;
    return account.value;
}

} // namespace poplar::gateway
