// Guards against requests that arrive after their exchange has ended: the
// kernel goes on sending what was written to a connection whose link was cut.
#include "net/http_client.hpp"
#include "tests/platform/scripted_upstream.hpp"

#include <gtest/gtest.h>

namespace poplar::net
{
namespace
{

using gateway::scripted_answer;
using gateway::scripted_upstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct cut_case
{
    const char* name;
    duration cut; ///< Time without packets, from the end of the first answer.
    bool arrives;
};

class cut_connection : public testing::TestWithParam<cut_case>
{
};

TEST_P(cut_connection, delivers_no_request_after_its_timeout)
{
    const scripted_upstream server(
        [](const std::string& head) -> scripted_answer
        {
            const bool is_first = head.starts_with("GET /first");
            return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    .packet_loss_after =
                        is_first ? GetParam().cut : duration::zero()};
        });
    http_client client;
    const auto send = [&](const char* method, const char* path)
    {
        client_request request;
        request.method = method;
        request.to = server.address();
        request.path = path;
        request.timeout = seconds(1);
        return client.fetch(std::move(request)).failure;
    };
    ASSERT_EQ(send("GET", "/first"), client_failure::none);
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_EQ(send("POST", "/second"), GetParam().arrives
                                           ? client_failure::none
                                           : client_failure::timed_out);
    std::this_thread::sleep_for(GetParam().cut + seconds(2));
    EXPECT_EQ(server.heads().size(), GetParam().arrives ? 2U : 1U);
    EXPECT_EQ(server.connections(), 1U);
}

INSTANTIATE_TEST_SUITE_P(cuts, cut_connection,
                         testing::Values(cut_case{"short", milliseconds(300),
                                                  true},
                                         cut_case{"long", seconds(3), false}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::net
