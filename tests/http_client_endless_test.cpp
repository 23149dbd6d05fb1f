// Guards against a server that sends without end and so fills the memory of the
// process that called it.
#include "net/http_client.hpp"
#include "tests/platform/scripted_upstream.hpp"

#include <gtest/gtest.h>

namespace poplar::net
{
namespace
{

using gateway::scripted_answer;
using gateway::scripted_upstream;

/// Bytes that the server may send before its connection is closed: twice the
/// limit, for the framing of chunks and the buffers of the sockets.
const std::size_t max_sent_bytes = 2 * client_request().max_response_bytes;
constexpr std::size_t max_header_fields = std::size_t(5) << 20;

struct endless_case
{
    const char* name;
    const char* begin;
    const char* piece;
    /// False where nothing of the answer is kept, so that only the timeout ends
    /// the call.
    bool is_cut = true;
};

class endless_answer : public testing::TestWithParam<endless_case>
{
protected:
    static scripted_answer answer()
    {
        std::string piece;
        while (piece.size() < 60'000)
            piece += GetParam().piece;
        return {.bytes = GetParam().begin,
                .pieces = {piece},
                .repeats_last_piece = true};
    }
};

TEST_P(endless_answer, ends_the_call)
{
    scripted_upstream server([](const std::string&) { return answer(); });
    http_client client;
    client_request request;
    request.to = server.address();
    request.timeout = std::chrono::seconds(3);
    const client_result result = client.fetch(std::move(request));
    EXPECT_EQ(result.failure, GetParam().is_cut ? client_failure::broken
                                                : client_failure::timed_out)
        << result.detail;
    EXPECT_LT(result.response.body.size(), max_sent_bytes);
    EXPECT_LT(result.response.headers.size(), max_header_fields);
    if (GetParam().is_cut)
    {
        EXPECT_LT(server.sent_piece_bytes(), max_sent_bytes);
    }
}

INSTANTIATE_TEST_SUITE_P(
    places, endless_answer,
    testing::Values(
        endless_case{"line", "HTTP/1.1 200 ", "O"},
        endless_case{"field", "HTTP/1.1 200 OK\r\nA: ", "b"},
        endless_case{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        endless_case{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_case{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        endless_case{"long_body",
                     "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                     "x"},
        endless_case{"chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "10\r\n0123456789abcdef\r\n"},
        endless_case{"chunk_extension",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                     "x", false},
        endless_case{
            "trailer",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n"}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace poplar::net
