// Callers keep as many idle connections as a gateway accepts.
#include "review/standins-2/world.hpp"

#include <array>

namespace review
{

namespace
{

/// All connections that a gateway accepts.
constexpr int crowd_size = 2500;
/// With TROUBLE=0.
constexpr int small_crowd_size = 100;
constexpr int caller_count = 10;
constexpr std::int64_t settle_ms = 4000;
/// Twice the stable window.
constexpr std::int64_t watch_ms = 6000;
constexpr std::int64_t stable_window_ms = 3000;
constexpr int pause_ms = 200;

/// Attempts of the ordinary callers.
struct attempts
{
    std::array<std::atomic<int>, caller_count> tried{};
    std::atomic<int> answered = 0;
    std::atomic<std::int64_t> last_answer = 0;
};

void call_anew(world& w, attempts& a, std::size_t index, std::int64_t end)
{
    while (elapsed_ms() < end)
    {
        ++a.tried.at(index);
        const std::string answer =
            w.call(w.plain_request("Content-Length: 0\r\n"), 2000);
        if (answer.find(" 200 ") != std::string::npos)
        {
            ++a.answered;
            a.last_answer = elapsed_ms();
        }
        sleep_ms(pause_ms);
    }
}

bool is_ready(const world& w)
{
    const int s = connect_to(w.gateways.at(0).ready_port);
    if (s < 0)
        return false;
    connection c(s);
    c.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return c.read_all(1000).starts_with("HTTP/1.1 200 ");
}

/// Opens the connections; each sends one request and reads its answer.
std::vector<std::unique_ptr<connection>> open_crowd(world& w, int size)
{
    std::vector<std::unique_ptr<connection>> crowd;
    int answered = 0;
    for (int i = 0; i < size; ++i)
    {
        const int s = connect_to(w.gateways.at(0).port);
        if (s < 0)
            break;
        crowd.push_back(std::make_unique<connection>(s));
        crowd.back()->send("GET /none HTTP/1.1\r\nHost: none.example\r\n\r\n");
        answered += int(crowd.back()->read_message().has_value());
    }
    w.log.add(std::to_string(crowd.size()) + " connections of the crowd, " +
              std::to_string(answered) + " got an answer and stay idle");
    return crowd;
}

} // namespace

int play_idle(world& w)
{
    w.start();
    w.wait_for_gateways();
    if (!w.wait_until_served())
        return 2;
    sleep_ms(settle_ms);
    const auto crowd =
        open_crowd(w, w.has_trouble ? crowd_size : small_crowd_size);
    attempts a;
    const std::int64_t start = elapsed_ms();
    const std::int64_t end = start + watch_ms;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i)
        callers.emplace_back([&, i] { call_anew(w, a, i, end); });
    int asked = 0;
    int ready = 0;
    std::int64_t longest = 0;
    for (; elapsed_ms() < end; sleep_ms(500))
    {
        ++asked;
        ready += int(is_ready(w));
        longest = std::max(longest, elapsed_ms() - std::max<std::int64_t>(
                                                       start, a.last_answer));
    }
    for (std::thread& it : callers)
        it.join();
    int tried = 0;
    for (const auto& it : a.tried)
        tried += it;
    w.log.add(std::to_string(caller_count) + " ordinary callers tried " +
              std::to_string(tried) + " new connections, " +
              std::to_string(a.answered) + " got an answer; " +
              std::to_string(longest) + " ms without any; ready " +
              std::to_string(ready) + " of " + std::to_string(asked) +
              " times");
    return longest >= stable_window_ms && ready == asked ? 1 : 0;
}

} // namespace review
