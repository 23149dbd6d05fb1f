// An engine falls silent in the middle of a stream and then sends bytes that
// are no answer and do not end, while another engine prepares to go on.
#include "platform/headers.hpp"
#include "review/standins-2/world.hpp"

namespace review
{

namespace
{

/// Ordinary streams before the disruption.
constexpr int warm_up_requests = 60;
/// Time without any disruption before it, more than the stable window.
constexpr std::int64_t steady_ms = 4000;
/// Silence of the faulty engine, and time in which the other one sends nothing.
constexpr int silence_ms = 1700;
constexpr int second_engine_ms = 1200;
constexpr std::size_t most_bytes = 4 << 20;

/// What the engines do with the watched request.
struct watched_request
{
    std::string id;
    std::atomic<int> attempts = 0;
};

bool fail(world& w, worker& self, connection& c, const message& m)
{
    w.log.add("worker " + self.id() + " sends one event, then nothing");
    c.send(self.stream_head(m));
    c.send(worker::event_chunk(1));
    sleep_ms(silence_ms);
    w.log.add("worker " + self.id() + " sends bytes without end");
    std::size_t sent = 2;
    const std::string letters(8192, 'a');
    bool is_open = c.send("5;");
    while (is_open && sent < most_bytes)
    {
        is_open = c.send(letters);
        sent += letters.size();
    }
    w.log.add("worker " + self.id() + " has sent " + std::to_string(sent) +
              " bytes, connection " + (is_open ? "open" : "closed"));
    return true;
}

bool serve_watched(world& w, watched_request& r, worker& self, connection& c,
                   const message& m)
{
    namespace headers = poplar::platform::headers;
    if (m.field(headers::attempt_id) != r.id ||
        m.field(headers::stage) == "prefill")
        return false;
    const int attempt = ++r.attempts;
    w.log.add("worker " + self.id() + " got the request " + r.id +
              ", attempt " + std::to_string(attempt));
    if (attempt == 1 && w.has_trouble)
        return fail(w, self, c, m);
    if (attempt > 1)
        c.wait_while_open(second_engine_ms);
    return false;
}

} // namespace

int play_line(world& w)
{
    watched_request r;
    w.start();
    for (const auto& it : w.engines)
        it->special = [&](worker& self, connection& c, const message& m)
        {
            return serve_watched(w, r, self, c, m);
        };
    w.wait_for_gateways();
    if (!w.wait_until_served())
        return 2;
    for (int i = 0; i < warm_up_requests; ++i)
        w.call(w.stream_request());
    steady_callers callers(w);
    sleep_ms(steady_ms);
    const std::string request = w.stream_request();
    const std::string field =
        std::string(poplar::platform::headers::attempt_id) + ": ";
    const std::string rest = request.substr(request.find(field) + field.size());
    r.id = rest.substr(0, rest.find('\r'));
    w.log.add("a caller sends the request " + r.id);
    const std::string answer = w.call(request);
    w.log.add("the caller got " + std::to_string(answer.size()) + " bytes, " +
              (answer.ends_with("0\r\n\r\n") ? "complete" : "broken off"));
    sleep_ms(1000);
    w.log.add(std::string("the gateway's process ") +
              (w.is_running() ? "runs" : "has ended"));
    return callers.finish() > most_lost ? 1 : 0;
}

} // namespace review
