#include "load/runner.hpp"

#include "standin/common/tokens.hpp"

#include <algorithm>

namespace poplar::load
{

namespace
{

constexpr unsigned first_error_status = 300;

bool is_success(const net::client_result& result)
{
    return result.failure == net::client_failure::none &&
           result.response.status < first_error_status;
}

void set_outcome(open_request& r, outcome o, const std::string& detail)
{
    r.measured.result = o;
    r.measured.detail = detail;
}

/// Outcome of an answer that is no success; `body` is that of an error.
void judge_failure(open_request& r, const net::client_result& result,
                   const std::string& body)
{
    if (const std::string* ran =
            net::find_header(result.response.headers, "Poplar-Ran"))
        r.measured.ran = *ran;
    if (result.failure != net::client_failure::none)
        return set_outcome(
            r, r.reader.text().empty() ? outcome::failed : outcome::cut,
            net::to_string(result.failure));
    const std::string type = error_type_of(body);
    set_outcome(r, outcome::refused,
                type.empty()
                    ? "status_" + std::to_string(result.response.status)
                    : type);
}

void judge_text(open_request& r, const std::string& text,
                const std::string& model)
{
    const std::string expected = standin::answer_text(
        standin::answer_digest(r.chat.prompt, model), 0, r.chat.output_tokens);
    if (text == expected)
        return set_outcome(r, outcome::completed, "");
    if (expected.starts_with(text))
        return set_outcome(r, outcome::cut, "short");
    set_outcome(r, outcome::mixed, "wrong_text");
}

} // namespace

void judge_chat(open_request& r, const net::client_result& result,
                const work_class& c, bool check_text)
{
    if (!is_success(result))
        return judge_failure(r, result,
                             c.stream ? r.raw : result.response.body);
    const std::string text =
        c.stream ? r.reader.text() : whole_text(result.response.body);
    r.measured.tokens =
        static_cast<std::uint32_t>(std::ranges::count(text, ' '));
    if (c.stream && !r.reader.error_type().empty())
        return set_outcome(r, text.empty() ? outcome::failed : outcome::cut,
                           r.reader.error_type());
    if (c.stream && !r.reader.is_done())
        return set_outcome(r, outcome::cut, "no_end");
    if (check_text)
        return judge_text(r, text, c.model);
    set_outcome(r, outcome::completed, "");
}

void judge_call(open_request& r, const net::client_result& result,
                bool check_text)
{
    if (!is_success(result))
        return judge_failure(r, result, result.response.body);
    const auto body =
        nlohmann::json::parse(result.response.body, nullptr, false);
    const bool right =
        body.is_object() && body.value("body", "") == r.call_body;
    if (check_text && !right)
        return set_outcome(r, outcome::mixed, "wrong_echo");
    set_outcome(r, outcome::completed, "");
}

} // namespace poplar::load
