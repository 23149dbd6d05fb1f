#include "ctl/commands.hpp"
#include "ctl/gateway_log.hpp"
#include "ctl/output.hpp"
#include "net/http_client.hpp"
#include "store/api_json.hpp"

#include <algorithm>
#include <iostream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;

constexpr duration answer_timeout = std::chrono::seconds(5);

struct entry_answer
{
    ip_address entry;
    std::string failure; ///< Empty when the entry answered.
    json decisions = json::array();
};

std::string query_of(const options& o)
{
    if (!o.request.empty())
        return "request=" + store::escape_query(o.request);
    return "instance=" + store::escape_query(o.instances.front().value);
}

/// Reads {"decisions":[...]}.
entry_answer parse_answer(entry_answer answer, const std::string& body)
{
    try
    {
        answer.decisions = json::parse(body).at("decisions");
        if (!answer.decisions.is_array())
            answer.failure = "\"decisions\" is not an array";
    }
    catch (const json::exception& ec)
    {
        answer.failure = ec.what();
    }
    return answer;
}

entry_answer ask(net::http_client& client, const ip_address& entry,
                 const std::string& query)
{
    net::client_request request;
    request.to = entry;
    request.path = "/explain?" + query;
    request.timeout = answer_timeout;
    const net::client_result result = client.fetch(std::move(request));
    entry_answer answer{entry, "", json::array()};
    if (result.failure != net::client_failure::none)
        answer.failure = to_string(result.failure) + " " + result.detail;
    else if (result.response.status == 200)
        return parse_answer(std::move(answer), result.response.body);
    else if (result.response.status != 404)
        answer.failure = "status " + std::to_string(result.response.status);
    return answer;
}

std::string cell(const json& decision, const char* member)
{
    const auto it = decision.find(member);
    if (it == decision.end() || it->is_null())
        return "";
    if (it->is_string())
        return it->get<std::string>();
    return it->dump();
}

/// Time of a decision in milliseconds since 1970; 0 when it has none.
std::int64_t time_of(const json& decision)
{
    const auto it = decision.find("time_ms");
    if (it == decision.end() || !it->is_number_integer())
        return 0;
    return it->get<std::int64_t>();
}

std::string time_text(std::int64_t ms)
{
    std::string text = utc_text(ms / 1000);
    const std::string fraction = std::to_string(1000 + ms % 1000).substr(1);
    return text.insert(text.size() - 1, "." + fraction);
}

struct decision_row
{
    std::int64_t time = 0;
    std::vector<std::string> cells;
};

/// Decisions of all entries in the order of time.
void print_text(const std::vector<entry_answer>& answers)
{
    std::vector<decision_row> rows;
    for (const entry_answer& it : answers)
        for (const json& d : it.decisions)
            rows.push_back(
                {time_of(d),
                 {time_text(time_of(d)), to_string(it.entry), cell(d, "kind"),
                  cell(d, "request"), cell(d, "instance"), cell(d, "detail")}});
    std::ranges::stable_sort(rows, {}, &decision_row::time);
    table t({"TIME", "ENTRY", "KIND", "REQUEST", "INSTANCE", "DETAIL"});
    for (decision_row& it : rows)
        t.add(std::move(it.cells));
    std::cout << t.text();
}

void print_answers_json(const std::vector<entry_answer>& answers)
{
    json entries = json::array();
    for (const entry_answer& it : answers)
        entries.push_back({{"entry", to_string(it.entry)},
                           {"failure", it.failure},
                           {"decisions", it.decisions}});
    print_json({{"entries", entries}});
}

/// An answer with decisions counts even when other entries cannot be asked;
/// without one, "not found" needs an answer from every entry.
exit_code exit_code_of(const std::vector<entry_answer>& answers)
{
    bool is_whole = true;
    for (const entry_answer& it : answers)
    {
        if (!it.decisions.empty())
            return exit_code::success;
        is_whole = is_whole && it.failure.empty();
    }
    return is_whole ? exit_code::not_found : exit_code::unreachable;
}

/// Fields of a record that have no column of their own.
std::string details_of(const json& record)
{
    std::string text;
    for (const auto& [name, value] : record.items())
        if (name != "time" && name != "level" && name != "event" &&
            name != "name" && name != "program" && name != "request")
            text += (text.empty() ? "" : " ") + name + "=" +
                    text_field(record, name.c_str());
    return text;
}

exit_code explain_from_logs(const options& o)
{
    std::vector<json> records;
    const log_counts n =
        read_logs(o.logs,
                  [&](const json& it)
                  {
                      if (text_field(it, "request") == o.request)
                          records.push_back(it);
                  });
    if (n.others > 0)
        std::cerr << n.others << " lines hold no record\n";
    std::ranges::stable_sort(
        records, {}, [](const json& it) { return text_field(it, "time"); });
    table t({"TIME", "EVENT", "NAME", "DETAILS"});
    for (const json& it : records)
        t.add({text_field(it, "time"), text_field(it, "event"),
               text_field(it, "name"), details_of(it)});
    if (o.json)
        print_json({{"records", records}});
    else
        std::cout << t.text();
    return records.empty() ? exit_code::not_found : exit_code::success;
}

} // namespace

exit_code run_explain(const options& o)
{
    if (!o.logs.empty())
        return explain_from_logs(o);
    net::http_client client;
    std::vector<entry_answer> answers;
    answers.reserve(o.entries.size());
    for (const ip_address& it : o.entries)
        answers.push_back(ask(client, it, query_of(o)));
    for (const entry_answer& it : answers)
        if (!it.failure.empty())
            std::cerr << "entry " << to_string(it.entry) << ": " << it.failure
                      << "\n";
    if (o.json)
        print_answers_json(answers);
    else
        print_text(answers);
    return exit_code_of(answers);
}

} // namespace poplar::ctl
