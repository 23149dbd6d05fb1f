#include "standin/engine/settings.hpp"

namespace poplar::standin
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void read_setup(settings::reader& all, engine_setup& setup)
{
    setup.role = all.text("role", "mixed");
    if (!is_engine_role(setup.role))
        all.fail("role", "expected prefill, decode or mixed");
    setup.model = all.text("model", "m");
    setup.version = all.text("version", "1");
    setup.adapters = all.texts("adapters");
}

void read_speed(settings::reader& all, engine_settings& s)
{
    s.prefill_tokens_per_s = all.number("prefill_tokens_per_s", 20000, 1, 1e9);
    s.prefill_chunk = all.integer("prefill_chunk", 512, 1, 1 << 20);
    s.shared_prefill_chunk =
        all.integer("shared_prefill_chunk", 512, 1, 1 << 20);
    s.decode_step =
        all.time("decode_step", milliseconds(15), microseconds(1), minutes(1));
    s.decode_step_per_stream = all.time(
        "decode_step_per_stream", microseconds(0), microseconds(0), seconds(1));
    s.max_batch =
        static_cast<std::size_t>(all.integer("max_batch", 64, 1, 100'000));
}

void read_memory(settings::reader& all, engine_settings& s)
{
    s.kv_pieces = all.integer("kv_pieces", 1000, 1, 10'000'000);
    s.piece_tokens = all.integer("piece_tokens", 64, 1, 1 << 20);
    s.cache_blocks = static_cast<std::size_t>(
        all.integer("cache_blocks", 4096, 0, 10'000'000));
    s.short_prompt = all.integer("short_prompt", 2048, 0, 1 << 30);
    s.kv_bytes_per_token = all.integer("kv_bytes_per_token", 16, 1, 1 << 16);
    s.kv_hold = all.time("kv_hold", seconds(30), milliseconds(1), minutes(60));
}

void read_reports(settings::reader& all, engine_settings& s)
{
    s.load_report_lag = all.time("load_report_lag", milliseconds(100),
                                 milliseconds(0), minutes(10));
    s.cache_event_delay = all.time("cache_event_delay", milliseconds(200),
                                   milliseconds(0), minutes(10));
    s.cache_event_gap_rate = all.number("cache_event_gap_rate", 0, 0, 1);
}

} // namespace

bool is_engine_role(const std::string& role)
{
    return role == "prefill" || role == "decode" || role == "mixed";
}

engine_settings parse_engine_settings(settings::reader& all)
{
    engine_settings s;
    s.listen = all.address("listen", {"127.0.0.1", 0});
    read_setup(all, s.setup);
    read_speed(all, s);
    read_memory(all, s);
    read_reports(all, s);
    s.role_change_time =
        all.time("role_change_time", seconds(2), milliseconds(0), minutes(60));
    s.model_load_time =
        all.time("model_load_time", seconds(5), milliseconds(0), minutes(60));
    s.weights = all.address("weights", ip_address());
    s.checks_fencing = all.flag("checks_fencing", true);
    s.seed = static_cast<std::uint64_t>(all.integer("seed", 1, 0, 1LL << 62));
    all.finish();
    return s;
}

} // namespace poplar::standin
