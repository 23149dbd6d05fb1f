// Guards against requests to an upstream that is known to leave: calls that
// were begun before.
#include "gateway/fleet.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

constexpr std::uint64_t first_write = 10;
struct entry
{
    upstream_state state = upstream_state::ready;
    std::uint64_t write_number = first_write;
    std::int64_t started_ms = 1;
};

upstream_record record_of(const entry& e)
{
    upstream_record r;
    r.id = upstream_id("u");
    r.service = service_id("writers");
    r.address = {"127.0.0.1", 1};
    r.state = e.state;
    r.write_number = e.write_number;
    r.started_ms = e.started_ms;
    return r;
}

class departure_test : public testing::Test
{
protected:
    departure_test() : upstreams_(loop_, {})
    {
        upstreams_.set_store_connected(true, now());
        put({});
    }

    upstream_ptr find() const
    {
        return upstreams_.find(upstream_id("u"));
    }
    void put(const entry& e)
    {
        upstreams_.apply(record_of(e));
    }
    asio::io_context loop_;
    fleet upstreams_;
};

struct connecting_case
{
    const char* name;
    std::function<void(fleet&)> change;
    bool is_sent;
};

class connecting_call : public departure_test,
                        public testing::WithParamInterface<connecting_case>
{
};

// Connecting takes up to 400 ms, in which the entry may change.
TEST_P(connecting_call, is_not_sent_once_its_upstream_leaves)
{
    const call_hooks hooks = upstreams_.begin_call(find());
    GetParam().change(upstreams_);
    EXPECT_EQ(hooks.may_send(), GetParam().is_sent);
}

INSTANTIATE_TEST_SUITE_P(
    changes, connecting_call,
    testing::Values(
        connecting_case{"entry_written_again",
                        [](fleet& f) {
                            f.apply(record_of({upstream_state::ready, 11}));
                        },
                        true},
        connecting_case{"entry_drains",
                        [](fleet& f) {
                            f.apply(record_of({upstream_state::draining, 11}));
                        },
                        false},
        connecting_case{"entry_removed",
                        [](fleet& f) { f.remove(upstream_id("u"), now()); },
                        false},
        connecting_case{"process_replaced",
                        [](fleet& f) {
                            f.apply(record_of({upstream_state::ready, 1, 2}));
                        },
                        false},
        connecting_case{"said_in_another_answer",
                        [](fleet& f)
                        {
                            answer_info a;
                            a.is_leaving = true;
                            f.note_answer(*f.find(upstream_id("u")), a, now(),
                                          now());
                        },
                        false},
        connecting_case{
            "reported_by_a_peer",
            [](fleet& f)
            {
                const upstream_process p{f.find(upstream_id("u"))->key, 1};
                f.apply_reported_leaving({&p, 1}, now());
            },
            false}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
