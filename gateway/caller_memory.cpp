#include "gateway/caller_memory.hpp"

#include "observe/log.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace poplar::gateway
{

namespace
{

std::size_t budget_of(const gateway_limits& limits)
{
    return limits.memory
               ? std::size_t(limits.memory->value) / caller_memory_divisor
               : std::numeric_limits<std::size_t>::max();
}

} // namespace

caller_memory::handle choose_largest(caller_memory::members& all,
                                     bool only_bodies)
{
    const auto weight = [&](const caller_memory::member& m)
    {
        const caller_bytes& b = m.bytes;
        const std::size_t n = only_bodies ? b.body : b.sum();
        if (n == 0 || (only_bodies && b.is_forwarded))
            return std::tuple(0, std::size_t(0));
        return std::tuple(b.is_forwarded ? 1 : 2, n);
    };
    const auto it = std::ranges::max_element(all, {}, weight);
    return it == all.end() || std::get<0>(weight(*it)) == 0 ? all.end() : it;
}

caller_memory::handle caller_memory::add(std::function<void()> end)
{
    return members_.insert(members_.end(), {{}, std::move(end)});
}

void caller_memory::remove(handle h)
{
    replace(h, {});
    members_.erase(h);
}

void caller_memory::replace(handle h, const caller_bytes& bytes)
{
    total_ += bytes.sum();
    total_ -= h->bytes.sum();
    bodies_ += bytes.body;
    bodies_ -= h->bytes.body;
    h->bytes = bytes;
}

void caller_memory::set(handle h, const caller_bytes& bytes,
                        const gateway_limits& limits)
{
    replace(h, bytes);
    const auto max_bodies = std::size_t(limits.max_body_bytes.value);
    while (bodies_ > max_bodies)
    {
        const handle largest = choose_largest(members_, true);
        if (largest == members_.end())
            break;
        end(largest, "max_body_bytes");
    }
    while (total_ > budget_of(limits))
        end(choose_largest(members_, false), "memory");
}

void caller_memory::end(handle h, const char* limit)
{
    const caller_bytes held = h->bytes;
    replace(h, {});
    metrics_.record_ended_caller(limit);
    if (const auto n = log_.count(now()))
        observe::log(observe::event::gateway_caller_memory_exceeded,
                     {{"limit", limit},
                      {"callers", *n},
                      {"bytes", held.sum()},
                      {"forwarded", int(held.is_forwarded)},
                      {"total", total_}});
    h->end();
}

} // namespace poplar::gateway
