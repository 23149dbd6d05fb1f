#include "load/workload.hpp"

namespace poplar::load
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double longest_text = 1 << 20;
constexpr std::int64_t most_open = 100'000;

length_distribution read_length(settings::reader& c, const std::string& name,
                                double median)
{
    return {c.number(name + "_median", median, 1, longest_text),
            c.number(name + "_spread", 0, 0, 4)};
}

std::uint32_t read_count(settings::reader& c, const std::string& key,
                         std::int64_t otherwise)
{
    return static_cast<std::uint32_t>(
        c.integer(key, otherwise, 0, std::int64_t(longest_text)));
}

void read_chat(settings::reader& c, work_class& w, const std::string& model)
{
    w.model = c.text("model", model);
    w.stream = c.flag("stream", true);
    w.prompt = read_length(c, "prompt", 100);
    w.output = read_length(c, "output", 50);
    w.max_tokens = read_count(c, "max_tokens", 0);
    w.shared_prefix = read_count(c, "shared_prefix", 0);
    w.prefixes = std::max(1U, read_count(c, "prefixes", 1));
}

void read_call(settings::reader& c, work_class& w)
{
    w.service = c.text("service");
    w.method = c.text("method", "POST");
    w.path = c.text("path", "/");
    if (!w.path.starts_with("/"))
        c.fail("path", "expected a path that starts with \"/\"");
    w.keyed = c.flag("keyed", false);
    w.repeat_rate = c.number("repeat_rate", 0, 0, 1);
    w.retries = read_count(c, "retries", 0);
}

work_kind read_kind(settings::reader& c)
{
    const std::string kind = c.text("kind", "chat");
    if (kind == "call")
        return work_kind::call;
    if (kind != "chat")
        c.fail("kind", "expected chat or call");
    return work_kind::chat;
}

work_class read_class(settings::reader& c, const workload& all,
                      const std::string& model)
{
    work_class w;
    w.name = c.text("name");
    w.kind = read_kind(c);
    w.tenant = c.text("tenant", "");
    w.rank = c.text("rank", "");
    w.rate = c.number("rate", 0, 0, 1e6);
    w.open = static_cast<unsigned>(c.integer("open", 0, 0, most_open));
    if ((w.rate > 0) == (w.open > 0))
        c.fail("rate", "expected either rate or open above 0");
    w.start = c.time("start", duration::zero(), duration::zero(), hours(24));
    w.stop = c.time("stop", all.length, duration::zero(), hours(24));
    w.deadline =
        c.time("deadline", duration::zero(), duration::zero(), hours(24));
    w.timeout = c.time("timeout", minutes(2), milliseconds(1), hours(24));
    w.first_token_target = c.time("first_token_target", milliseconds(360),
                                  milliseconds(1), hours(1));
    w.token_interval_target = c.time("token_interval_target", milliseconds(27),
                                     milliseconds(1), hours(1));
    if (w.kind == work_kind::chat)
        read_chat(c, w, model);
    else
        read_call(c, w);
    return w;
}

} // namespace

protocol parse_protocol(const std::string& text)
{
    if (text == "entry")
        return protocol::entry;
    if (text == "engine")
        return protocol::engine;
    throw parse_error("expected entry or engine");
}

workload parse_workload(settings::reader& all)
{
    workload w;
    w.targets = all.addresses("targets");
    w.length = all.time("duration", seconds(10), milliseconds(1), hours(24));
    w.drain = all.time("drain", seconds(30), duration::zero(), hours(1));
    w.seed = static_cast<std::uint64_t>(all.integer("seed", 1, 0, 1LL << 62));
    w.check_text = all.flag("check_text", true);
    w.clients = static_cast<unsigned>(all.integer("clients", 2, 1, 64));
    const std::string model = all.text("model", "m");
    try
    {
        w.protocol = parse_protocol(all.text("protocol", "entry"));
    }
    catch (const parse_error& ec)
    {
        all.fail("protocol", ec.what());
    }
    for (settings::reader& c : all.tables("class"))
        w.classes.push_back(read_class(c, w, model));
    if (w.classes.empty())
        all.fail("class", "expected at least one class of work");
    all.finish();
    return w;
}

} // namespace poplar::load
