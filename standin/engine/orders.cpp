#include "observe/log.hpp"
#include "standin/engine/engine.hpp"

#include <algorithm>

namespace poplar::standin
{

namespace
{

/// An exported cache is kept this long for an importer that asks again.
constexpr duration exported_hold = std::chrono::seconds(2);

/// The weight store is rate limited; all engines of a group may load at once.
constexpr duration weights_retry_pause = std::chrono::milliseconds(500);

} // namespace

std::string to_string(order_result result)
{
    switch (result)
    {
    case order_result::accepted:
        return "accepted";
    case order_result::unchanged:
        return "unchanged";
    case order_result::stale:
        return "stale_fencing";
    case order_result::busy:
        return "busy";
    }
    return "unknown";
}

order_result engine::order(const engine_order& o)
{
    absl::MutexLock lock(&mutex_);
    const order_result result = judge(o);
    counters_.orders.push_back({o.fencing, o.setup.role, to_string(result)});
    observe::log(observe::event::standin_order,
                 {{"fencing", o.fencing},
                  {"role", o.setup.role},
                  {"result", to_string(result)}});
    if (result == order_result::accepted)
        begin_change(o.setup);
    return result;
}

order_result engine::judge(const engine_order& o)
{
    // The same number again is a repetition of an order whose answer was lost.
    const bool repeated = o.fencing == highest_fencing_;
    const engine_setup& target = change_ ? change_->target : setup_;
    const bool same = o.setup == target;
    if (o.fencing < highest_fencing_ || (repeated && !same))
    {
        ++counters_.stale_orders;
        if (settings_.checks_fencing)
            return order_result::stale;
        ++counters_.stale_executed;
    }
    highest_fencing_ = std::max(highest_fencing_, o.fencing);
    if (change_ && !(repeated && same))
    {
        ++counters_.overlapping_orders;
        return order_result::busy;
    }
    return same ? order_result::unchanged : order_result::accepted;
}

void engine::begin_change(const engine_setup& target)
{
    cut_all();
    cache_.clear(now());
    for (const auto& [handle, kv] : kept_)
        kv_free_ += kv.pieces;
    kept_.clear();
    ++counters_.changes;
    const bool loads = target.model != setup_.model ||
                       target.version != setup_.version ||
                       target.adapters != setup_.adapters;
    duration time{};
    if (target.role != setup_.role)
        time += settings_.role_change_time;
    if (loads)
        time += settings_.model_load_time;
    const bool needs_weights = loads && load_weights_;
    const mono_time at = now();
    change_ = {target, at + time, !needs_weights, std::nullopt};
    if (needs_weights)
        change_->load_at = at;
}

void engine::load_weights(mono_time at)
{
    if (!change_->load_at || at < *change_->load_at)
        return;
    change_->load_at.reset();
    load_weights_(change_->target,
                  [this, target = change_->target](bool loaded)
                  {
                      absl::MutexLock lock(&mutex_);
                      if (!change_ || change_->target != target)
                          return;
                      change_->weights_loaded = loaded;
                      if (!loaded)
                          change_->load_at = now() + weights_retry_pause;
                  });
}

void engine::finish_change(mono_time at)
{
    if (!change_)
        return;
    load_weights(at);
    if (!change_->weights_loaded || at < change_->until)
        return;
    setup_ = change_->target;
    change_.reset();
    observe::log(observe::event::standin_changed,
                 {{"role", setup_.role},
                  {"model", setup_.model},
                  {"version", setup_.version}});
}

engine_state engine::state() const
{
    absl::MutexLock lock(&mutex_);
    return {setup_, change_.has_value()};
}

std::optional<kept_kv> engine::export_kv(const std::string& handle)
{
    absl::MutexLock lock(&mutex_);
    const auto it = kept_.find(handle);
    if (it == kept_.end())
        return std::nullopt;
    ++counters_.kv_exports;
    it->second.until = std::min(it->second.until, now() + exported_hold);
    return it->second;
}

void engine::drop_expired_kv(mono_time at)
{
    std::erase_if(kept_,
                  [this, at](const auto& it)
                  {
                      mutex_.AssertHeld();
                      const kept_kv& kv = it.second;
                      if (kv.until > at)
                          return false;
                      kv_free_ += kv.pieces;
                      return true;
                  });
}

} // namespace poplar::standin
