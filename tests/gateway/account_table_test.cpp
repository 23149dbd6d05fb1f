// Guards against keys that are taken for those of another client account, and
// against metrics that grow with the number of accounts.
#include "gateway/account_labels.hpp"
#include "gateway/account_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplar::gateway
{
namespace
{

client_account make_account(const std::string& name,
                            std::vector<std::string> keys)
{
    return {account_name(name), std::move(keys), std::nullopt};
}

struct key_case
{
    const char* name;
    const char* key;
    const char* account; ///< Empty: unknown.
};

class account_key : public testing::TestWithParam<key_case>
{
};

TEST_P(account_key, belongs_to_one_account)
{
    const account_table table({make_account("a", {"k1", "k2", "shared"}),
                               make_account("b", {"k3", "shared"})});
    const auto* found = table.find(GetParam().key);
    EXPECT_EQ(found ? found->name.value : "", GetParam().account);
    EXPECT_EQ(table.key_count(), 4U);
    EXPECT_EQ(table.duplicate_count(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    keys, account_key,
    testing::Values(key_case{"first", "k1", "a"}, key_case{"second", "k2", "a"},
                    key_case{"of_another", "k3", "b"},
                    key_case{"duplicate", "shared", "a"},
                    key_case{"prefix", "k", ""}, key_case{"longer", "k11", ""},
                    key_case{"empty", "", ""}, key_case{"case", "K1", ""}),
    [](const auto& it) { return it.param.name; });

RC_GTEST_PROP(account_table_lookup, finds_the_first_owner_of_each_key,
              (const std::vector<std::vector<std::string>>& keys))
{
    std::vector<client_account> accounts;
    std::map<std::string, std::string> owners;
    for (std::size_t i = 0; i < keys.size(); ++i)
    {
        accounts.push_back(make_account("a" + std::to_string(i), keys[i]));
        for (const std::string& it : keys[i])
            owners.try_emplace(it, "a" + std::to_string(i));
    }
    const account_table table(accounts);
    RC_ASSERT(table.key_count() == owners.size());
    for (const auto& [key, owner] : owners)
        RC_ASSERT(table.find(key)->name.value == owner);
}

RC_GTEST_PROP(account_labels_count, stays_within_the_limit,
              (const std::vector<std::uint8_t>& requests))
{
    constexpr std::size_t max_named = 4;
    std::set<std::string> named;
    account_labels labels(max_named,
                          [&](const std::string& it) { named.erase(it); });
    for (const std::uint8_t it : requests)
    {
        const std::string label =
            labels.count(account_name("a" + std::to_string(it)));
        if (label != account_labels::other)
            named.insert(label);
        RC_ASSERT(named.size() <= max_named);
    }
}

TEST(account_labels_count, names_the_account_with_most_requests)
{
    account_labels labels(1, [](const std::string&) {});
    EXPECT_EQ(labels.count(account_name("small")), "small");
    EXPECT_EQ(labels.count(account_name("large")), account_labels::other);
    EXPECT_EQ(labels.count(account_name("large")), "large");
    EXPECT_EQ(labels.count(account_name("small")), account_labels::other);
}

} // namespace
} // namespace poplar::gateway
