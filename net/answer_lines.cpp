#include "net/answer_lines.hpp"

#include "net/http_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace poplar::net
{

namespace
{

constexpr std::string_view version_1_0 = "HTTP/1.0 ";
constexpr std::string_view version_1_1 = "HTTP/1.1 ";
constexpr std::size_t status_digits = 3;
/// Requests ask for no other protocol, so that an answer which switches to one
/// answers none of them.
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_final_status = 200;
/// Any number with so many digits fits into 63 bits.
constexpr std::size_t max_length_digits = 18;
constexpr char delete_byte = 0x7f;

bool is_answer_status(unsigned status)
{
    return status >= 100 && status < 600 &&
           status != status_switching_protocols;
}

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_number(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_digit);
}

/// Bytes of a token (RFC 9110, 5.6.2).
constexpr auto token_bytes = []
{
    std::array<bool, 256> bytes{};
    for (const char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                         "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
        bytes.at(static_cast<unsigned char>(c)) = true;
    return bytes;
}();

bool is_token_byte(char c)
{
    return token_bytes[static_cast<unsigned char>(c)];
}

bool is_control(char c)
{
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') ||
           c == delete_byte;
}

/// Recipients may accept a line that ends with LF only (RFC 9112, 2.2).
std::string_view without_line_end(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return "";
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// The only transfer coding that bodies are decoded from.
bool is_understood_coding(std::string_view coding)
{
    return is_same_name(coding, "chunked");
}

} // namespace

bool answer_lines::take(std::string_view line)
{
    line = without_line_end(line);
    if (std::ranges::any_of(line, is_control))
        return fail("a control byte in the head or trailer");
    switch (part_)
    {
    case part::status_line:
        return take_status_line(line);
    case part::fields:
        return line.empty() ? end_head() : take_field(line);
    case part::trailer:
        break;
    }
    return line.empty() || take_field(line);
}

bool answer_lines::take_status_line(std::string_view line)
{
    is_version_1_1_ = line.starts_with(version_1_1);
    if (!is_version_1_1_ && !line.starts_with(version_1_0))
        return fail("an unknown version of HTTP");
    const std::string_view rest = line.substr(version_1_1.size());
    const std::string_view digits = rest.substr(0, status_digits);
    const bool is_delimited =
        rest.size() <= status_digits || rest[status_digits] == ' ';
    if (digits.size() != status_digits || !is_number(digits) || !is_delimited)
        return fail("a malformed status");
    std::from_chars(digits.data(), digits.data() + digits.size(), status_);
    if (!is_answer_status(status_))
        return fail("a status that no answer has");
    framing_ = {};
    part_ = part::fields;
    return true;
}

/// A line that continues the one before it begins with a blank, which is no
/// byte of a name.
bool answer_lines::take_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::ranges::all_of(name, is_token_byte))
        return fail("a malformed field");
    if (part_ == part::trailer)
        return true;
    const std::string_view value = trim(line.substr(colon + 1));
    note_framing(name, value);
    if (on_field_)
        on_field_(name, value);
    return true;
}

void answer_lines::note_framing(std::string_view name, std::string_view value)
{
    framing& f = framing_;
    if (is_same_name(name, "Content-Length"))
    {
        const bool is_repeated = f.length.empty() || f.length == value;
        f.has_invalid_length = f.has_invalid_length || !is_repeated ||
                               !is_number(value) ||
                               value.size() > max_length_digits;
        f.length = value;
    }
    else if (is_same_name(name, "Transfer-Encoding"))
    {
        ++f.codings;
        f.has_unknown_coding =
            f.has_unknown_coding || !is_understood_coding(value);
    }
}

/// Version 1.0 has no transfer codings, and a length beside one is ambiguous.
bool answer_lines::end_head()
{
    const framing& f = framing_;
    const bool is_interim = status_ < first_final_status;
    part_ = is_interim ? part::status_line : part::trailer;
    if (is_interim || (f.codings == 0 && !f.has_invalid_length))
        return true;
    if (f.has_invalid_length || !f.length.empty())
        return fail("a malformed or ambiguous length");
    return (is_version_1_1_ && f.codings == 1 && !f.has_unknown_coding) ||
           fail("a transfer coding that is not understood");
}

bool answer_lines::fail(const char* fault)
{
    fault_ = fault;
    return false;
}

std::string find_head_fault(std::string_view head)
{
    answer_lines lines;
    bool is_valid = true;
    while (is_valid && !head.empty())
    {
        const std::size_t line_end = std::min(head.find('\n'), head.size() - 1);
        is_valid = lines.take(head.substr(0, line_end + 1));
        head.remove_prefix(line_end + 1);
    }
    return lines.fault();
}

} // namespace poplar::net
