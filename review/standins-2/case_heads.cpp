// Callers send heads of many short fields, within the limit on a head, and
// then nothing of the body.
#include "review/standins-2/world.hpp"

namespace review
{

namespace
{

constexpr int connection_count = 1000;
/// Time without any disruption before it, more than the stable window.
constexpr std::int64_t steady_ms = 4000;
constexpr std::size_t head_bytes = 16'300;
/// The configured time for a head and a body.
constexpr std::int64_t watch_ms = 6000;

std::string make_head(world& w)
{
    std::string head = w.plain_request("Content-Length: 10\r\n");
    const std::string field =
        w.has_trouble ? "a:\r\n" : "A: " + std::string(1000, 'a') + "\r\n";
    while (head.size() + field.size() + 2 <= head_bytes)
        head += field;
    return head + "\r\n";
}

} // namespace

int play_heads(world& w)
{
    w.start();
    w.wait_for_gateways();
    if (!w.wait_until_served())
        return 2;
    w.log.add("at rest: " + std::to_string(w.resident_mib()) + " MiB");
    steady_callers ordinary(w);
    sleep_ms(steady_ms);
    std::vector<std::unique_ptr<connection>> crowd;
    for (int i = 0; i < connection_count; ++i)
    {
        const int s = connect_to(w.gateways[0].port);
        if (s < 0)
            return 2;
        crowd.push_back(std::make_unique<connection>(s));
        const std::string head = make_head(w);
        if (i == 0)
            w.log.add("each connection sends a head of " +
                      std::to_string(head.size()) + " bytes");
        crowd.back()->send(head);
    }
    w.log.add(std::to_string(crowd.size()) + " connections have sent a head");
    bool is_exceeded = false;
    bool is_running = true;
    const std::int64_t end = elapsed_ms() + watch_ms;
    while (!is_exceeded && is_running && elapsed_ms() < end)
    {
        sleep_ms(20);
        is_exceeded = w.is_memory_exceeded();
        is_running = w.is_running();
    }
    if (is_exceeded)
        w.kill_gateway();
    sleep_ms(200);
    crowd.clear();
    return ordinary.finish() > most_lost ? 1 : 0;
}

} // namespace review
