#include "entry/decision_log.hpp"

#include <chrono>
#include <nlohmann/json.hpp>

namespace poplar::entry
{

namespace
{

std::int64_t unix_milliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace

std::string to_string(decision_kind kind)
{
    switch (kind)
    {
    case decision_kind::admitted:
        return "admitted";
    case decision_kind::queued:
        return "queued";
    case decision_kind::refused:
        return "refused";
    case decision_kind::dispatched:
        return "dispatched";
    case decision_kind::attached:
        return "attached";
    case decision_kind::resumed:
        return "resumed";
    case decision_kind::retried:
        return "retried";
    case decision_kind::upstream_lost:
        return "upstream_lost";
    case decision_kind::handed_back:
        return "handed_back";
    case decision_kind::prefill_failed:
        return "prefill_failed";
    case decision_kind::caller_gone:
        return "caller_gone";
    case decision_kind::ended:
        return "ended";
    case decision_kind::failed:
        return "failed";
    case decision_kind::instance_connected:
        return "instance_connected";
    case decision_kind::instance_lost:
        return "instance_lost";
    case decision_kind::instance_unreachable:
        return "instance_unreachable";
    case decision_kind::instance_usable:
        return "instance_usable";
    case decision_kind::instance_unusable:
        return "instance_unusable";
    case decision_kind::sheet_in_force:
        return "sheet_in_force";
    case decision_kind::assignments_seen:
        return "assignments_seen";
    case decision_kind::control:
        return "control";
    }
    return "unknown";
}

decision_log::decision_log(std::size_t capacity) : capacity_(capacity) {}

void decision_log::add(decision_kind kind, std::optional<request_id> request,
                       instance_id instance, std::string detail)
{
    decision d{unix_milliseconds(), kind, request, std::move(instance),
               std::move(detail)};
    absl::MutexLock lock(&mutex_);
    if (ring_.size() < capacity_)
        ring_.push_back(std::move(d));
    else
        ring_[next_] = std::move(d);
    next_ = (next_ + 1) % capacity_;
}

std::vector<decision>
decision_log::select(const std::function<bool(const decision&)>& wanted) const
{
    std::vector<decision> result;
    absl::MutexLock lock(&mutex_);
    const std::size_t first = ring_.size() < capacity_ ? 0 : next_;
    for (std::size_t i = 0; i < ring_.size(); ++i)
    {
        const decision& d = ring_[(first + i) % ring_.size()];
        if (wanted(d))
            result.push_back(d);
    }
    return result;
}

std::vector<decision> decision_log::about(const request_id& request) const
{
    return select([&](const decision& d) { return d.request == request; });
}

std::vector<decision> decision_log::about(const instance_id& instance) const
{
    return select([&](const decision& d) { return d.instance == instance; });
}

std::string to_json(const std::vector<decision>& decisions)
{
    nlohmann::json list = nlohmann::json::array();
    for (const decision& d : decisions)
    {
        nlohmann::json item{{"time_ms", d.at},
                            {"kind", to_string(d.kind)},
                            {"detail", d.detail}};
        if (d.request)
            item["request"] = to_string(*d.request);
        if (!d.instance.empty())
            item["instance"] = d.instance.value;
        list.push_back(std::move(item));
    }
    return nlohmann::json{{"decisions", std::move(list)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace poplar::entry
