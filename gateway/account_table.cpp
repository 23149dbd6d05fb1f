#include "gateway/account_table.hpp"

#include "base/digest.hpp"

#include <random>

namespace poplar::gateway
{

namespace
{

/// Secret that callers cannot know, drawn once for each process.
std::uint64_t process_seed()
{
    static const std::uint64_t seed = []
    {
        std::random_device random;
        return (std::uint64_t(random()) << 32) | random();
    }();
    return seed;
}

/// Takes the same time for all texts of one size.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    volatile unsigned char difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference = difference | static_cast<unsigned char>(a[i] ^ b[i]);
    return difference == 0;
}

} // namespace

account_table::account_table(const std::vector<client_account>& accounts)
    : seed_(process_seed())
{
    for (const client_account& it : accounts)
    {
        for (const std::string& key : it.keys)
        {
            if (find_key(key))
                ++duplicate_count_;
            else
                keys_.emplace(digest(key, seed_),
                              owned_key{key, accounts_.size()});
        }
        accounts_.push_back({it.name, it.priority});
    }
}

const account_table::account* account_table::find(std::string_view key) const
{
    const owned_key* found = find_key(key);
    return found ? &accounts_[found->account] : nullptr;
}

const account_table::owned_key*
account_table::find_key(std::string_view key) const
{
    const auto [first, last] = keys_.equal_range(digest(key, seed_));
    for (auto it = first; it != last; ++it)
        if (equal_in_constant_time(it->second.key, key))
            return &it->second;
    return nullptr;
}

} // namespace poplar::gateway
