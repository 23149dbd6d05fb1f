#include "ctl/losses.hpp"

#include "ctl/commands.hpp"
#include "ctl/gateway_log.hpp"
#include "ctl/output.hpp"

#include <iostream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;

/// Part of the expected time that is spent waiting, from which on the wait is
/// the cause rather than the prompt's own length.
constexpr double wait_part = 0.5;

std::string reason_of(const std::string& outcome)
{
    const auto colon = outcome.find(": ");
    return colon == std::string::npos ? outcome : outcome.substr(colon + 2);
}

bool has_long_pause(const json& end)
{
    const std::int64_t target = number_field(end, "pause_target_ms");
    return target > 0 && number_field(end, "longest_pause_ms") > target;
}

bool is_late(const json& end)
{
    const std::int64_t target = number_field(end, "target_ms");
    const std::int64_t first = number_field(end, "first_event_ms");
    const std::int64_t taken =
        first > 0 ? first : number_field(end, "taken_ms");
    return (target > 0 && taken > target) || has_long_pause(end);
}

std::string causes_text(const kind_losses& k)
{
    std::string text;
    for (const auto& [cause, n] : k.causes)
        text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(n);
    return text;
}

json to_json(const loss_report::kind& kind, const kind_losses& k)
{
    return {{"service", kind.first},  {"priority", kind.second},
            {"requests", k.requests}, {"in_time", k.in_time},
            {"late", k.late},         {"refused", k.refused},
            {"failed", k.failed},     {"left", k.left},
            {"causes", k.causes}};
}

} // namespace

void loss_report::add(const json& record)
{
    const std::string name = text_field(record, "name");
    if (name == "gateway_request_placed")
    {
        placement& p = open_[text_field(record, "request")];
        p.has_reader = !text_field(record, "reader").empty();
        p.wait_ms = number_field(record, "wait_ms");
        p.ready_ms = number_field(record, "read_ms");
    }
    if (name == "gateway_request_ended")
        add_end(record);
}

void loss_report::add_end(const json& record)
{
    const std::string request = text_field(record, "request");
    const auto it = open_.find(request);
    const placement* placed = it == open_.end() ? nullptr : &it->second;
    const std::string outcome = text_field(record, "outcome");
    kind_losses& k =
        kinds_[{text_field(record, "service"), text_field(record, "priority")}];
    ++k.requests;
    if (outcome == "answered" && number_field(record, "status") < 400)
    {
        ++(is_late(record) ? k.late : k.in_time);
        if (is_late(record))
            ++k.causes[cause_of_lateness(record, placed)];
    }
    else if (outcome == "answered")
    {
        ++k.failed;
        ++k.causes["upstream_error"];
    }
    else if (outcome == "caller_left")
    {
        ++k.left;
        ++k.causes[awaited_step(record, placed)];
    }
    else
    {
        ++(outcome.starts_with("failed") ? k.failed : k.refused);
        ++k.causes[reason_of(outcome)];
    }
    if (it != open_.end())
        open_.erase(it);
}

std::string loss_report::cause_of_lateness(const json& end,
                                           const placement* placed)
{
    if (number_field(end, "tries") > 1)
        return "retry";
    if (!placed)
        return "call";
    if (number_field(end, "first_event_ms") <= number_field(end, "target_ms"))
        return "pause";
    const std::int64_t read = number_field(end, "prompt_read_ms");
    if (read > 0 && read <= number_field(end, "target_ms"))
        return "decode_wait";
    return double(placed->wait_ms) > wait_part * double(placed->ready_ms)
               ? "prefill_wait"
               : "prompt";
}

std::string loss_report::awaited_step(const json& end, const placement* placed)
{
    if (number_field(end, "tries") > 0)
        return "retry";
    if (!placed)
        return "call";
    if (number_field(end, "first_event_ms") > 0)
        return "stream";
    return placed->has_reader && number_field(end, "prompt_read_ms") == 0
               ? "prefill"
               : "first_event";
}

exit_code run_losses(const options& o)
{
    loss_report report;
    const log_counts n =
        read_logs(o.logs, [&](const json& it) { report.add(it); });
    if (n.others > 0)
        std::cerr << n.others << " lines hold no record\n";
    json kinds = json::array();
    table t({"SERVICE", "PRIORITY", "REQUESTS", "IN TIME", "LATE", "REFUSED",
             "FAILED", "LEFT", "CAUSES"});
    for (const auto& [kind, k] : report.kinds())
    {
        kinds.push_back(to_json(kind, k));
        t.add({kind.first, kind.second, std::to_string(k.requests),
               std::to_string(k.in_time), std::to_string(k.late),
               std::to_string(k.refused), std::to_string(k.failed),
               std::to_string(k.left), causes_text(k)});
    }
    if (o.json)
        print_json({{"kinds", kinds}});
    else
        std::cout << t.text();
    return report.kinds().empty() ? exit_code::not_found : exit_code::success;
}

} // namespace poplar::ctl
