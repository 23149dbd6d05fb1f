// Guards against malformed bytes from callers and upstreams that crash or block
// a gateway, split one request into two, make incomplete events look complete,
// or are held without a limit. Mutates a corpus; POPLAR_FUZZ="SEED COUNT" runs
// other mutations.
#include "gateway/event_stream.hpp"
#include "gateway/request_reader.hpp"
#include "tests/platform/gateway_fixture.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace poplar::gateway
{
namespace
{

/// Seeds that failed before: successful answers without id and signature were
/// passed on to the caller.
constexpr std::array<std::uint64_t, 3> regression_seeds{2383, 3115, 4675};

std::vector<std::uint64_t> seeds()
{
    std::uint64_t first = 1;
    std::uint64_t count = 150;
    std::vector<std::uint64_t> all;
    if (const char* text = std::getenv("POPLAR_FUZZ"))
        std::istringstream(text) >> first >> count;
    else
        all.assign(regression_seeds.begin(), regression_seeds.end());
    for (std::uint64_t i = 0; i < count; ++i)
        all.push_back(first + i);
    return all;
}

std::vector<std::string> corpus(const std::string& folder)
{
    std::vector<std::string> texts;
    const std::filesystem::path path =
        std::filesystem::path(POPLAR_SOURCE) / "tests" / "corpus" / folder;
    std::vector<std::filesystem::path> files;
    for (const auto& it : std::filesystem::directory_iterator(path))
        files.push_back(it.path());
    std::ranges::sort(files);
    for (const auto& it : files)
    {
        std::ifstream in(it, std::ios::binary);
        texts.emplace_back(std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>());
    }
    return texts;
}

class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t n)
    {
        return n == 0 ? 0 : random_() % n;
    }

    /// Applies one to four changes to a random text of the corpus.
    std::string mutate(const std::vector<std::string>& texts)
    {
        std::string text = texts[below(texts.size())];
        for (std::size_t n = 1 + below(4); n > 0; --n)
            change(text, texts[below(texts.size())]);
        return text;
    }

private:
    void change(std::string& text, const std::string& other)
    {
        const std::size_t at = below(text.size());
        const std::size_t n =
            below(std::min<std::size_t>(text.size() - at, 20));
        switch (below(5))
        {
        case 0:
            text.erase(at, n);
            break;
        case 1:
            text.insert(at, text.substr(at, n));
            break;
        case 2:
            text.resize(at);
            break;
        case 3:
            text.insert(at, other.substr(below(other.size()), n));
            break;
        default:
            if (!text.empty())
                text[at] = static_cast<char>(random_());
        }
    }

    std::mt19937_64 random_;
};

TEST(event_stream_fuzz, gives_the_same_events_however_bytes_are_split)
{
    const auto texts = corpus("events");
    for (const std::uint64_t seed : seeds())
    {
        mutator m(seed);
        const std::string text = m.mutate(texts);
        event_stream whole;
        const std::string expected = whole.append(text);
        event_stream split;
        std::string given;
        for (std::size_t at = 0; at < text.size();)
        {
            const std::size_t n = 1 + m.below(7);
            given += split.append(std::string_view(text).substr(at, n));
            at += n;
        }
        ASSERT_EQ(given, expected) << "seed " << seed;
        ASSERT_EQ(given + split.partial_event(), text) << "seed " << seed;
    }
}

constexpr std::size_t reader_header_limit = 8000;
constexpr std::size_t reader_body_limit = 100'000;
constexpr std::size_t reader_unparsed_limit = 64 << 10;
/// Size of the repeated part of an input; above all limits.
constexpr std::size_t repeated_bytes = 300 << 10;

/// Repeats a part of `text` until it is longer than all limits.
void repeat_part(std::string& text, mutator& m)
{
    const std::size_t at = m.below(text.size());
    const std::string part = text.substr(at, 1 + m.below(40));
    std::string repeated;
    while (!part.empty() && repeated.size() < repeated_bytes)
        repeated += part;
    text.insert(at, repeated);
}

asio::awaitable<void> read_requests(request_reader& reader,
                                    beast::tcp_stream& stream)
{
    error_code ec;
    while (!ec)
    {
        reader.begin(reader_header_limit, reader_body_limit,
                     reader_unparsed_limit);
        ec = co_await reader.read_head();
        if (!ec)
            ec = co_await reader.read_body();
        if (!ec)
            reader.release();
    }
    stream.close();
}

// The input is sent and read on one thread, so that a seed gives one result.
TEST(request_reader_fuzz, holds_no_more_than_its_limits)
{
    const auto texts = corpus("requests");
    for (const std::uint64_t seed : seeds())
    {
        mutator m(seed);
        std::string text = m.mutate(texts);
        repeat_part(text, m);
        asio::io_context loop;
        auto acceptor = listen_at(loop, {"127.0.0.1", 0});
        asio::ip::tcp::socket caller(loop);
        caller.connect(acceptor.local_endpoint());
        beast::tcp_stream stream(acceptor.accept());
        std::size_t most_unparsed = 0;
        std::size_t most_body = 0;
        request_reader* reader = nullptr;
        request_reader r(stream,
                         [&]
                         {
                             most_unparsed = std::max(most_unparsed,
                                                      reader->unparsed_bytes());
                             most_body =
                                 std::max(most_body, reader->body_bytes());
                         });
        reader = &r;
        asio::co_spawn(loop, read_requests(r, stream), asio::detached);
        asio::async_write(caller, asio::buffer(text),
                          [&](error_code, std::size_t) { caller.close(); });
        loop.run_for(seconds(10));
        EXPECT_FALSE(stream.socket().is_open()) << "seed " << seed;
        EXPECT_LE(most_unparsed, reader_unparsed_limit) << "seed " << seed;
        EXPECT_LE(most_body, reader_body_limit) << "seed " << seed;
    }
}

class edge_fuzz : public gateway_test
{
protected:
    /// Checks that the gateway still serves a well-formed request correctly.
    void expect_healthy_service_answers(std::uint64_t seed)
    {
        const std::string id = "ok" + std::to_string(seed);
        const std::string answer = fetch(request("/sound/x", id));
        EXPECT_EQ(status_of(answer), "200") << "seed " << seed;
        EXPECT_NE(answer.find("Attempt-Id: " + id), std::string::npos)
            << "seed " << seed;
    }

    void start_with_healthy_service(const ip_address& healthy)
    {
        json c = configuration_json(1);
        c["routes"].push_back(route_json("/sound/", "sound", "idempotent"));
        c["services"].push_back({{"name", "sound"}, {"maxConns", 100}});
        put("config/main", c);
        add_upstream("i-sound", healthy, "sound");
        start_without_configuration();
        wait_until_ready();
    }

    static scripted_answer healthy_answer(const std::string& head)
    {
        return {
            whole_answer(200, field_of(head, "Attempt-Id"), "end of answer")};
    }
};

TEST_F(edge_fuzz, bytes_of_callers_make_one_request_at_most)
{
    scripted_upstream healthy(healthy_answer);
    scripted_upstream desk(healthy_answer);
    add_upstream("i-1", desk.address(), "desk");
    start_with_healthy_service(healthy.address());
    const auto texts = corpus("requests");
    for (const std::uint64_t seed : seeds())
    {
        mutator m(seed);
        const std::size_t before = desk.heads().size();
        scripted_caller c(gateway_->address());
        c.send(m.mutate(texts));
        c.read_until("end of answer", milliseconds(20));
        EXPECT_LE(desk.heads().size(), before + 1) << "seed " << seed;
        if (seed % 10 == 0)
            expect_healthy_service_answers(seed);
    }
    expect_healthy_service_answers(0);
}

TEST_F(edge_fuzz, bytes_of_upstreams_give_one_answer)
{
    const auto texts = corpus("answers");
    std::atomic<std::uint64_t> seed = 0;
    scripted_upstream healthy(healthy_answer);
    scripted_upstream desk(
        [&](const std::string&) -> scripted_answer
        { return {.bytes = mutator(seed).mutate(texts), .closes = true}; });
    add_upstream("i-1", desk.address(), "desk");
    start_with_healthy_service(healthy.address());
    for (const std::uint64_t it : seeds())
    {
        seed = it;
        scripted_caller c(gateway_->address());
        c.send(request("/once/x", "f1", "Connection: close\r\n"));
        const std::string answer = c.read_until("nothing ends it", seconds(3));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 ")) << "seed " << seed;
        EXPECT_EQ(answer.find("Attempt-Id: earlier"), std::string::npos)
            << "seed " << seed;
        const auto body = answer.find("\r\n\r\n");
        const std::string length = field_of(answer, "Content-Length");
        if (status_of(answer) == "200" && !length.empty())
        {
            EXPECT_EQ(answer.size() - body - 4, std::stoul(length))
                << "seed " << seed;
        }
        if (seed % 10 == 0)
            expect_healthy_service_answers(seed);
    }
}

TEST_F(edge_fuzz, bytes_of_engines_leave_no_caller_without_an_answer)
{
    const auto prefill_answers = corpus("readings");
    const auto stream_answers = corpus("streams");
    std::atomic<std::uint64_t> seed = 0;
    scripted_upstream healthy(healthy_answer);
    const auto script = [&](const std::string& head) -> scripted_answer
    {
        const bool is_prefill = field_of(head, "Serving-Stage") == "prefill";
        return {.bytes = mutator(seed).mutate(is_prefill ? prefill_answers
                                                         : stream_answers),
                .closes = true};
    };
    scripted_upstream prefill_engine(script);
    scripted_upstream decode_engine(script);
    add_upstream("i-1", prefill_engine.address(), "writers", "prefill");
    add_upstream("i-2", decode_engine.address(), "writers", "decode");
    start_with_healthy_service(healthy.address());
    for (const std::uint64_t it : seeds())
    {
        seed = it;
        scripted_caller c(gateway_->address());
        c.send(request("/stream/x", "f1",
                       "Model: m\r\nToken-Count: 9000,20\r\n"
                       "Connection: close\r\nPrompt-Prefix: aa" +
                           std::to_string(it) + ":9000\r\n"));
        const std::string answer = c.read_until("nothing ends it", seconds(3));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 ")) << "seed " << it;
        EXPECT_TRUE(c.is_closed()) << "seed " << it;
        if (it % 10 == 0)
            expect_healthy_service_answers(it);
    }
}

} // namespace
} // namespace poplar::gateway
