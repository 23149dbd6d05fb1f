#include "agent/load_reporter.hpp"

namespace poplar::agent
{

namespace
{

/// More cache events than this in one interval are reported as a gap, which
/// keeps a report far below the frame limit.
constexpr std::size_t most_cache_changes = 8192;

bool same_apart_from_age(engine_load a, const engine_load& b)
{
    a.age = b.age;
    return a == b;
}

std::unique_ptr<fb::cache_eventT> to_wire(const cache_change& change)
{
    auto out = std::make_unique<fb::cache_eventT>();
    out->sequence = change.sequence;
    out->added = change.added;
    out->block = change.block;
    return out;
}

} // namespace

load_reporter::load_reporter(entry_links& links, poll_options options)
    : links_(links), options_(options), load_at_(now())
{
}

void load_reporter::set_view(const agent_view& view)
{
    absl::MutexLock lock(&mutex_);
    has_changed_ = has_changed_ || view_ != view;
    view_ = view;
}

void load_reporter::set_load(const engine_load& load, mono_time t)
{
    absl::MutexLock lock(&mutex_);
    has_changed_ = has_changed_ || !same_apart_from_age(load_, load);
    load_ = load;
    load_at_ = t;
}

void load_reporter::add_cache_changes(const cache_changes& changes)
{
    absl::MutexLock lock(&mutex_);
    if (changes.has_gap)
    {
        cache_.has_gap = true;
        cache_.changes.clear();
    }
    cache_.changes.insert(cache_.changes.end(), changes.changes.begin(),
                          changes.changes.end());
    if (cache_.changes.size() > most_cache_changes)
    {
        cache_.has_gap = true;
        cache_.changes.clear();
    }
    has_changed_ = has_changed_ || changes.has_gap || !changes.changes.empty();
}

void load_reporter::tick(mono_time t)
{
    absl::MutexLock lock(&mutex_);
    const duration since = sent_at_ ? t - *sent_at_ : duration::max();
    const bool is_due = has_changed_
                            ? since >= options_.report_interval
                            : since >= options_.longest_report_interval;
    if (!is_due)
        return;
    ++sequence_;
    fb::load_reportT report = make_report(t);
    report.cache_gap = cache_.has_gap;
    for (const cache_change& it : cache_.changes)
        report.cache_events.push_back(to_wire(it));
    cache_ = {};
    has_changed_ = false;
    sent_at_ = t;
    links_.broadcast(wire::encode(report));
}

void load_reporter::send_first(const wire::connection_ptr& c, mono_time t)
{
    absl::MutexLock lock(&mutex_);
    fb::load_reportT report = make_report(t);
    report.cache_gap = true;
    c->send(wire::encode(report));
    // Within the lock, so that no report passes between this one and the next
    // broadcast, which would look like a gap.
    links_.add(c);
}

fb::load_reportT load_reporter::make_report(mono_time t) const
{
    fb::load_reportT r;
    r.sequence = sequence_;
    r.role = agent::to_wire(view_.setup.role);
    r.model = view_.setup.model.value;
    r.model_version = view_.setup.version.value;
    for (const adapter_id& it : view_.setup.adapters)
        r.adapters.push_back(it.value);
    r.state = agent::to_wire(view_.state);
    r.changing = view_.changing;
    r.ready = view_.ready;
    r.running = load_.running;
    r.waiting = load_.waiting;
    r.queued_prompt_tokens = load_.queued_prompt_tokens;
    r.decode_streams = load_.decode_streams;
    r.kv_pieces_free = load_.kv_pieces_free;
    r.kv_pieces_total = load_.kv_pieces_total;
    r.age_us = static_cast<std::uint64_t>((load_.age + (t - load_at_)).count());
    r.ledger_shards = view_.ledger_shards;
    r.assignments_version = view_.assignments.value;
    r.sheet_generation = view_.generation.value;
    return r;
}

} // namespace poplar::agent
