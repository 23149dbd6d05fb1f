// Guards against requests that are sent to a service other than the one of
// their route.
#include "gateway/route_table.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

route make_route(const char* host, const char* prefix, const char* service)
{
    route r;
    r.host = host;
    r.path_prefix = prefix;
    r.targets = {{service_id(service), 1}};
    return r;
}

configuration sample()
{
    configuration c;
    c.routes = {make_route("a.example", "/x/", "short"),
                make_route("a.example", "/x/y/", "long"),
                make_route("b.example", "/", "other")};
    return c;
}

struct lookup_case
{
    const char* name;
    const char* host;
    const char* target;
    const char* service; ///< Null when no route matches.
};

class route_lookup : public testing::TestWithParam<lookup_case>
{
};

TEST_P(route_lookup, takes_the_longest_prefix_of_the_host)
{
    const route_table table(sample());
    const route* found = table.find(GetParam().host, GetParam().target);
    if (!GetParam().service)
    {
        EXPECT_EQ(found, nullptr);
        return;
    }
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->targets.front().service.value, GetParam().service);
}

INSTANTIATE_TEST_SUITE_P(
    lookups, route_lookup,
    testing::Values(
        lookup_case{"shorter", "a.example", "/x/1", "short"},
        lookup_case{"longer", "a.example", "/x/y/1", "long"},
        lookup_case{"query_is_no_path", "a.example", "/x/?/y/", "short"},
        lookup_case{"port_and_case", "A.Example:80", "/x/y/", "long"},
        lookup_case{"no_slash_at_the_end", "a.example", "/x", nullptr},
        lookup_case{"other_host", "b.example", "/x/y/", "other"},
        lookup_case{"unknown_host", "c.example", "/x/", nullptr}),
    [](const auto& it) { return it.param.name; });

struct split_case
{
    const char* name;
    double random;
    const char* service;
};

class route_split : public testing::TestWithParam<split_case>
{
};

TEST_P(route_split, follows_the_weights)
{
    route r;
    r.targets = {{service_id("none"), 0},
                 {service_id("most"), 3},
                 {service_id("rest"), 1}};
    EXPECT_EQ(choose_target(r, GetParam().random).value, GetParam().service);
}

INSTANTIATE_TEST_SUITE_P(splits, route_split,
                         testing::Values(split_case{"first", 0.0, "most"},
                                         split_case{"inside", 0.74, "most"},
                                         split_case{"last", 0.76, "rest"},
                                         split_case{"end", 0.999, "rest"}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
