// Guards against watches of the store that never end on a slow link, and
// against ones that stop responding and delay changes.
#include "platform/objects.hpp"
#include "tests/platform/scripted_upstream.hpp"

#include <gtest/gtest.h>

namespace poplar::gateway
{
namespace
{

using std::chrono::milliseconds;

constexpr duration watch_time = milliseconds(100);
constexpr duration watch_margin = milliseconds(300);

struct watch_case
{
    const char* name;
    scripted_answer answer;
    bool is_read;
    duration max_duration;
};

std::string changes_head(std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

/// An answer with one change, sent in eight pieces after a pause each.
scripted_answer slow_changes(duration pause)
{
    const std::string body =
        R"({"asOf":9,"events":[{"object":{"metadata":{"name":"main",)"
        R"("revision":9},"spec":{"version":2}}}]})";
    scripted_answer a{.bytes = changes_head(body.size()), .pause = pause};
    constexpr std::size_t pieces = 8;
    const std::size_t size = body.size() / pieces + 1;
    for (std::size_t i = 0; i < body.size(); i += size)
        a.pieces.push_back(body.substr(i, size));
    return a;
}

class store_watch : public testing::TestWithParam<watch_case>
{
};

// A configuration with many added routes took longer to arrive than the watch
// margin, so that a gateway with a slow link kept the old one for 20 s.
TEST_P(store_watch, ends_when_its_answer_does_not_begin)
{
    const watch_case& c = GetParam();
    scripted_upstream server([&](const std::string&) { return c.answer; });
    store::http_store_options options{server.address()};
    options.watch_margin = watch_margin;
    const auto store =
        store::make_http_store(options, platform::make_object_dialect());
    const mono_time began = now();
    bool is_read = false;
    try
    {
        const auto changes =
            store->watch("config/", object_version(8), watch_time);
        is_read = changes.objects.size() == 1;
    }
    catch (const store::store_error& ec)
    {
        EXPECT_EQ(ec.failure(), store::store_failure::unavailable);
    }
    EXPECT_EQ(is_read, c.is_read);
    EXPECT_LT(now() - began, c.max_duration);
}

INSTANTIATE_TEST_SUITE_P(
    answers, store_watch,
    testing::Values(watch_case{"slow", slow_changes(milliseconds(150)), true,
                               milliseconds(1900)},
                    watch_case{"silent",
                               scripted_answer{.delay = milliseconds(1500)},
                               false, milliseconds(900)},
                    watch_case{"without_end", slow_changes(milliseconds(300)),
                               false, milliseconds(2600)}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::gateway
