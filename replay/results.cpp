#include "replay/results.hpp"

namespace poplar::replay
{

namespace
{

bool interval_met(const trace& t, const attempt& a)
{
    if (a.first_token == mono_time() || a.finished == mono_time())
        return false;
    const traced_request& r = t.requests[a.request];
    const double tokens =
        static_cast<double>(std::max<std::int64_t>(1, r.output - 1));
    return policy::seconds(a.finished - a.first_token) / tokens <=
           policy::seconds(t.ranks[a.rank].token_interval_target);
}

bool met(const trace& t, const attempt& a)
{
    const mono_time arrived{
        std::chrono::milliseconds(t.requests[a.request].at_ms)};
    return interval_met(t, a) &&
           a.first_token <= arrived + t.ranks[a.rank].first_token_target;
}

bool met_own_target(const trace& t, const attempt& a)
{
    return interval_met(t, a) && a.first_token <= a.first_token_by;
}

void add_request(const trace& t, std::size_t request, bool on_target,
                 const policy::engine_speed& speed, figures& f)
{
    const traced_request& r = t.requests[request];
    const std::size_t rank = t.kinds[r.kind].rank;
    const auto tokens = static_cast<double>(r.prompt + r.output);
    f.offered_worth_tokens += tokens * t.ranks[rank].worth;
    f.ranks[rank].offered += 1;
    for (std::size_t i = 0; i < t.floods.size(); ++i)
    {
        const flood& fl = t.floods[i];
        if (r.at_ms < fl.from_ms || r.at_ms >= fl.to_ms)
            continue;
        f.floods[i].ranks[rank].offered += 1;
        f.floods[i].ranks[rank].met += on_target ? 1 : 0;
        const std::int64_t prompt = r.prompt - t.kinds[r.kind].shared_prefix;
        if (on_target)
            f.floods[i].engine_seconds[rank] += policy::engine_seconds(
                {token_count(prompt), token_count(r.output)}, speed);
    }
    if (!on_target)
        return;
    f.ranks[rank].met += 1;
    f.plain_tokens += tokens;
    f.worth_tokens += tokens * t.ranks[rank].worth;
}

} // namespace

figures measure(const trace& t, const std::vector<attempt>& attempts,
                const policy::engine_speed& speed)
{
    figures f;
    f.ranks.resize(t.ranks.size());
    for (const flood& fl : t.floods)
        f.floods.push_back({fl.rank, std::vector<rank_figures>(t.ranks.size()),
                            std::vector<double>(t.ranks.size())});
    std::vector<bool> on_target(t.requests.size(), false);
    double told = 0;
    for (const attempt& a : attempts)
    {
        if (met(t, a))
            on_target[a.request] = true;
        f.refusals += a.refused ? 1 : 0;
        told += a.refused ? policy::seconds(a.told) : 0;
        f.retries += a.number > 1 ? 1 : 0;
        f.retries_true += a.number > 1 && met_own_target(t, a) ? 1 : 0;
        f.late_accepted += !a.refused && !met_own_target(t, a) ? 1 : 0;
    }
    f.mean_retry_after =
        f.refusals > 0 ? told / static_cast<double>(f.refusals) : 0;
    for (std::size_t i = 0; i < t.requests.size(); ++i)
        add_request(t, i, on_target[i], speed, f);
    return f;
}

} // namespace poplar::replay
