// Guards against ending a request that an upstream may run while another one
// could be ended, and against ending a small one instead of a large one.
#include "gateway/caller_memory.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

struct choice_case
{
    const char* name;
    std::vector<caller_bytes> all;
    bool only_bodies;
    int chosen; ///< Index; -1: none.
};

std::ostream& operator<<(std::ostream& out, const choice_case& c)
{
    return out << c.name;
}

class largest_caller : public testing::TestWithParam<choice_case>
{
};

TEST_P(largest_caller, is_chosen)
{
    caller_memory::members all;
    for (const caller_bytes& it : GetParam().all)
        all.push_back({it, nullptr});
    const auto chosen = choose_largest(all, GetParam().only_bodies);
    const auto index =
        chosen == all.end() ? -1 : int(std::distance(all.begin(), chosen));
    EXPECT_EQ(index, GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(
    table, largest_caller,
    testing::Values(
        choice_case{"nobody", {}, false, -1},
        choice_case{"idle_callers_only", {{}, {}}, false, -1},
        choice_case{"most_bytes", {{1, 2, 0}, {4, 0, 0}, {2, 1, 0}}, false, 1},
        choice_case{"unparsed_bytes_count", {{5, 0, 0}, {0, 6, 0}}, false, 1},
        choice_case{"forwarded_last",
                    {{900, 0, 900, true}, {0, 1, 0, false}},
                    false,
                    1},
        choice_case{"forwarded_if_nothing_else",
                    {{1, 0, 0, true}, {}, {0, 0, 2, true}},
                    false,
                    2},
        choice_case{"bodies_only", {{1, 0, 0}, {0, 9, 0}}, true, 0},
        choice_case{"no_forwarded_body", {{9, 0, 0, true}}, true, -1}),
    [](const auto& info) { return std::string(info.param.name); });

class caller_memory_limits : public testing::Test
{
protected:
    caller_memory::handle add(const std::string& name)
    {
        return memory_.add([this, name] { ended_.push_back(name); });
    }

    gateway_metrics metrics_;
    caller_memory memory_{metrics_};
    gateway_limits limits_;
    std::vector<std::string> ended_;
};

TEST_F(caller_memory_limits, end_as_few_requests_as_needed)
{
    limits_.memory = byte_count(300);
    const auto small = add("small");
    const auto large = add("large");
    memory_.set(small, {30, 0, 0}, limits_);
    memory_.set(large, {70, 0, 0}, limits_);
    EXPECT_TRUE(ended_.empty());
    memory_.set(small, {31, 0, 0}, limits_);
    EXPECT_EQ(ended_, std::vector<std::string>{"large"});
    EXPECT_EQ(memory_.total(), 31U);
    memory_.remove(large);
    memory_.remove(small);
    EXPECT_EQ(memory_.total(), 0U);
}

// Guards against a budget that some deployment gets without asking for it.
TEST_F(caller_memory_limits, are_absent_without_the_setting)
{
    const auto one = add("one");
    memory_.set(one, {0, 0, std::size_t(1) << 40}, limits_);
    EXPECT_TRUE(ended_.empty());
    memory_.remove(one);
}

} // namespace
} // namespace poplar::gateway
