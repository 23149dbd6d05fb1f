// Guards against orders that take most engines of a large fleet from their
// stage at once.
#include "tests/platform/gateway_fixture.hpp"

namespace poplar::gateway
{
namespace
{

struct changing_case
{
    const char* name;
    /// Whether the entries of engines that change are missing meanwhile.
    bool is_unlisted;
};

class large_fleet : public gateway_test,
                    public testing::WithParamInterface<changing_case>
{
protected:
    static constexpr int prefill_engines = 6;
    static constexpr int decode_engines = 60;

    static bool is_order(const std::string& head)
    {
        return head.starts_with("POST /order");
    }

    /// Engines accept each order and do not finish the change in this test.
    static scripted_answer answer(const std::string& head)
    {
        if (head.starts_with("GET /report"))
            return {whole_answer(200, "", R"({"stage":"decode","seq":0})")};
        if (is_order(head))
            return {whole_answer(202, "", "")};
        return {whole_answer(404, "", "")};
    }

    static std::vector<std::string> ordered_engines(const scripted_upstream& u)
    {
        std::vector<std::string> out;
        for (const std::string& head : u.heads())
            if (is_order(head))
                out.push_back(field_of(head, "Expect-Instance"));
        return out;
    }

    void add_engines(const ip_address& at)
    {
        for (int i = 0; i < prefill_engines + decode_engines; ++i)
            add_upstream("i-" + std::to_string(i), at, "writers",
                         i < prefill_engines ? "prefill" : "decode");
    }

    void remove_upstream(const std::string& id)
    {
        const object_key key("servers/" + id);
        store_.remove(key, store_.get(key).version);
    }
};

// A fleet of this size wants 47 prefill engines in its initial plan. A third of
// the decode engines may leave at a time.
TEST_P(large_fleet, keeps_two_thirds_of_a_stage)
{
    constexpr std::size_t limit = decode_engines / 3;
    scripted_upstream u(answer);
    add_engines(u.address());
    start();
    const mono_time give_up = now() + seconds(20);
    while (ordered_engines(u).size() < limit && now() < give_up)
        std::this_thread::sleep_for(milliseconds(5));
    const auto ordered = ordered_engines(u);
    ASSERT_EQ(ordered.size(), limit);
    if (GetParam().is_unlisted)
        for (const std::string& it : ordered)
            remove_upstream(it);
    // Longer than the time after which a changed number of engines counts as
    // settled, shorter than that after which an order is given again.
    std::this_thread::sleep_for(seconds(4));
    EXPECT_EQ(ordered_engines(u).size(), limit);
}

INSTANTIATE_TEST_SUITE_P(entries, large_fleet,
                         testing::Values(changing_case{"listed", false},
                                         changing_case{"unlisted", true}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
