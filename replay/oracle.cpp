#include "replay/oracle.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

namespace poplar::replay
{

namespace
{

constexpr std::int64_t window_ms = 5000;
/// Requests of about the same worth per engine second are taken together, at
/// the upper edge of their class.
constexpr double class_ratio = 1.05;
constexpr double nothing = 1e-9;

struct job_class
{
    double density = 0; ///< Worth per engine second, upper edge.
    std::size_t first = 0;
    std::size_t last = 0;   ///< Windows, inclusive.
    double seconds = 0;     ///< Engine seconds asked for.
    std::vector<double> in; ///< Engine seconds placed, by window from first.
};

/// Engine seconds of each window.
std::vector<double> capacity_of(const trace& t, std::size_t windows)
{
    std::vector<double> capacity(windows, 0);
    for (std::size_t engine = 0; engine < t.domains.size(); ++engine)
    {
        for (std::size_t w = 0; w < windows; ++w)
        {
            // An engine that is down for part of a window counts in full.
            const auto end = static_cast<std::int64_t>(w) * window_ms;
            bool up = true;
            for (const engine_event& e : t.events)
            {
                if (e.engine == engine && e.at_ms <= end)
                    up = e.kind != engine_event_kind::crash;
            }
            capacity[w] += up ? static_cast<double>(window_ms) / 1000 : 0;
        }
    }
    return capacity;
}

std::vector<job_class> classes_of(const trace& t, const engine_constants& c,
                                  std::size_t windows)
{
    const policy::engine_speed speed = nominal_speed(c);
    std::map<std::tuple<int, std::size_t, std::size_t>, job_class> classes;
    for (const traced_request& r : t.requests)
    {
        const work_kind& kind = t.kinds[r.kind];
        const sheet::rank& rank = t.ranks[kind.rank];
        const std::int64_t prompt =
            std::max<std::int64_t>(1, r.prompt - kind.shared_prefix);
        const double cost = policy::engine_seconds(
            {token_count(prompt), token_count(r.output)}, speed);
        const double worth =
            rank.worth * static_cast<double>(r.prompt + r.output);
        const std::int64_t until =
            r.at_ms + to_milliseconds(rank.first_token_target +
                                      rank.token_interval_target * r.output);
        const auto edge = static_cast<int>(
            std::ceil(std::log(worth / cost) / std::log(class_ratio)));
        const auto first = static_cast<std::size_t>(r.at_ms / window_ms);
        const std::size_t last =
            std::min(windows - 1, static_cast<std::size_t>(until / window_ms));
        job_class& k = classes[{-edge, first, last}];
        k.density = std::pow(class_ratio, edge);
        k.first = first;
        k.last = last;
        k.seconds += cost;
    }
    std::vector<job_class> result;
    result.reserve(classes.size());
    for (auto& [key, k] : classes)
    {
        k.in.assign(k.last - k.first + 1, 0);
        result.push_back(std::move(k));
    }
    return result;
}

/// Places engine seconds of classes in windows; earlier classes keep what they
/// have but may move to other windows.
class placement
{
public:
    placement(std::vector<job_class>& classes, std::vector<double> free)
        : classes_(classes), free_(std::move(free)), users_(free_.size())
    {
    }

    /// Returns the engine seconds placed.
    double place(std::size_t k)
    {
        double placed = 0;
        while (classes_[k].seconds - placed > nothing)
        {
            const double n = augment(k, classes_[k].seconds - placed);
            if (n <= nothing)
                break;
            placed += n;
        }
        return placed;
    }

private:
    struct step
    {
        std::size_t by = 0;   ///< Class that moves into the window.
        std::size_t from = 0; ///< Window it leaves; none for the new class.
        bool seen = false;
        bool moves = false;
    };

    void reach(std::size_t k, std::size_t from, bool moves,
               std::vector<step>& steps, std::queue<std::size_t>& open) const
    {
        for (std::size_t w = classes_[k].first; w <= classes_[k].last; ++w)
        {
            if (steps[w].seen)
                continue;
            steps[w] = {k, from, true, moves};
            open.push(w);
        }
    }

    /// One shortest path from the new class to a window with free time.
    double augment(std::size_t k, double most)
    {
        std::vector<step> steps(free_.size());
        std::queue<std::size_t> open;
        reach(k, 0, false, steps, open);
        while (!open.empty())
        {
            const std::size_t w = open.front();
            open.pop();
            if (free_[w] > nothing)
                return shift(w, most, steps);
            for (std::size_t user : users_[w])
            {
                if (placed(user, w) > nothing)
                    reach(user, w, true, steps, open);
            }
        }
        return 0;
    }

    double& placed(std::size_t k, std::size_t w)
    {
        return classes_[k].in[w - classes_[k].first];
    }

    void put(std::size_t k, std::size_t w, double n)
    {
        double& at = placed(k, w);
        if (at <= 0)
            users_[w].push_back(k);
        at += n;
    }

    double shift(std::size_t end, double most, const std::vector<step>& steps)
    {
        double n = std::min(most, free_[end]);
        for (std::size_t w = end; steps[w].moves; w = steps[w].from)
            n = std::min(n, placed(steps[w].by, steps[w].from));
        free_[end] -= n;
        std::size_t w = end;
        for (; steps[w].moves; w = steps[w].from)
        {
            const step& s = steps[w];
            put(s.by, w, n);
            double& left = placed(s.by, s.from);
            left -= n;
            if (left <= nothing)
            {
                left = 0;
                std::erase(users_[s.from], s.by);
            }
        }
        put(steps[w].by, w, n);
        return n;
    }

    std::vector<job_class>& classes_;
    std::vector<double> free_;
    std::vector<std::vector<std::size_t>> users_; ///< Classes by window.
};

} // namespace

double oracle_worth_tokens(const trace& t, const engine_constants& c)
{
    // Work may end after the last arrival, as in the replay.
    const auto windows =
        static_cast<std::size_t>((t.length_ms + 120000) / window_ms);
    std::vector<job_class> classes = classes_of(t, c, windows);
    placement placement(classes, capacity_of(t, windows));
    double worth = 0;
    for (std::size_t k = 0; k < classes.size(); ++k)
        worth += placement.place(k) * classes[k].density;
    return worth;
}

} // namespace poplar::replay
