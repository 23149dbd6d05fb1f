/// Heads that are no head of an HTTP/1.x answer (RFC 9112), and unusual ones
/// that are. Each is followed by the body "the end of answer".
#pragma once

#include <string>
#include <vector>

namespace poplar
{

struct answer_head_case
{
    const char* name;
    std::string status_line;
    std::string fields; ///< Each with its line end.
};

inline const std::string answer_body = "the end of answer";
inline const std::string answer_length = "Content-Length: 17\r\n";
inline const std::string answer_chunks = "11\r\nthe end of answer\r\n0\r\n\r\n";

/// `fields` is written between the status line and those of the case.
inline std::string make_answer(const answer_head_case& c,
                               const std::string& fields = "",
                               const std::string& body = answer_body)
{
    return c.status_line + "\r\n" + fields + c.fields + "\r\n" + body;
}

inline std::vector<answer_head_case> invalid_answer_heads()
{
    const std::string ok = "HTTP/1.1 200 OK";
    const auto with_status = [](const std::string& text)
    {
        return "HTTP/1.1 " + text;
    };
    const auto with_field = [](const std::string& line)
    {
        return line + "\r\n" + answer_length;
    };
    using namespace std::string_literals;
    return {
        {"status_0", with_status("000 OK"), answer_length},
        {"status_0_without_body", with_status("000 OK"),
         "Content-Length: 0\r\n"},
        {"status_0_until_close", with_status("000 OK"), ""},
        {"status_99", with_status("099 OK"), answer_length},
        {"status_600", with_status("600 OK"), answer_length},
        {"status_999", with_status("999 OK"), answer_length},
        {"status_of_two_digits", with_status("20 OK"), answer_length},
        {"line_ends_in_status", with_status("20"), answer_length},
        {"status_of_four_digits", with_status("2000 OK"), answer_length},
        {"status_with_letter", with_status("2x0 OK"), answer_length},
        {"status_with_sign", with_status("+20 OK"), answer_length},
        {"negative_status", with_status("-20 OK"), answer_length},
        {"status_after_two_blanks", with_status(" 200 OK"), answer_length},
        {"no_status", with_status("OK"), answer_length},
        {"unasked_upgrade", with_status("101 Switching Protocols"),
         "Upgrade: x\r\nConnection: upgrade\r\n"},
        {"version_2", "HTTP/2.0 200 OK", answer_length},
        {"version_1_2", "HTTP/1.2 200 OK", answer_length},
        {"version_0_9", "HTTP/0.9 200 OK", answer_length},
        {"other_protocol", "ICY 200 OK", answer_length},
        {"lower_case_protocol", "http/1.1 200 OK", answer_length},
        {"control_byte_in_reason", with_status("200 O\x01K"), answer_length},
        {"blank_in_name", ok, with_field("Some Field: 1")},
        {"blank_after_name", ok, with_field("Some-Field : 1")},
        {"tab_in_name", ok, with_field("Some\tField: 1")},
        {"control_byte_in_name", ok,
         with_field("Some\x01"
                    "Field: 1")},
        {"delete_byte_in_name", ok,
         with_field("Some\x7f"
                    "Field: 1")},
        {"null_byte_in_name", ok, with_field("Some\0Field: 1"s)},
        {"carriage_return_in_name", ok, with_field("Some\rField: 1")},
        {"high_byte_in_name", ok,
         with_field("Some\xe9"
                    "Field: 1")},
        {"slash_in_name", ok, with_field("Some/Field: 1")},
        {"quote_in_name", ok, with_field("Some\"Field: 1")},
        {"empty_name", ok, with_field(": 1")},
        {"no_colon", ok, with_field("Some-Field")},
        {"folded_first_line", ok, with_field(" Some-Field: 1")},
        {"line_of_blanks", ok, with_field("  ")},
        {"blank_after_length", ok, "Content-Length : 17\r\n"},
        {"blank_after_coding", ok, "Transfer-Encoding : chunked\r\n"},
        {"control_byte_in_value", ok, with_field("Some-Field: a\x01z")},
        {"null_byte_in_value", ok, with_field("Some-Field: a\0z"s)},
        {"delete_byte_in_value", ok, with_field("Some-Field: a\x7fz")},
        {"unknown_coding", ok, "Transfer-Encoding: gzip\r\n"},
        {"identity_coding", ok, "Transfer-Encoding: identity\r\n"},
        {"prefixed_coding", ok, "Transfer-Encoding: xchunked\r\n"},
        {"coding_with_parameter", ok, "Transfer-Encoding: chunked;q=1\r\n"},
        {"empty_coding", ok, "Transfer-Encoding:\r\n"},
        {"coding_after_chunks", ok, "Transfer-Encoding: chunked, gzip\r\n"},
        {"unknown_coding_and_length", ok,
         "Transfer-Encoding: gzip\r\n" + answer_length},
        {"length_and_unknown_coding", ok,
         answer_length + "Transfer-Encoding: gzip\r\n"},
        {"empty_length", ok, "Content-Length:\r\n"},
        {"length_with_letter", ok, "Content-Length: 17x\r\n"},
        {"length_with_sign", ok, "Content-Length: +17\r\n"},
        {"negative_length", ok, "Content-Length: -17\r\n"},
        {"length_with_blank", ok, "Content-Length: 1 7\r\n"},
        {"hexadecimal_length", ok, "Content-Length: 0x11\r\n"},
        {"length_of_70_bits", ok, "Content-Length: 1180591620717411303424\r\n"},
        {"two_lengths", ok, "Content-Length: 4\r\n" + answer_length},
        {"two_lengths_in_one", ok, "Content-Length: 4, 17\r\n"},
    };
}

/// Heads of answers whose body is `answer_chunks`.
inline std::vector<answer_head_case> invalid_chunked_heads()
{
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string coding = "Transfer-Encoding: chunked\r\n";
    return {
        {"coding_before_chunks", ok, "Transfer-Encoding: gzip, chunked\r\n"},
        {"coding_in_own_field", ok, "Transfer-Encoding: gzip\r\n" + coding},
        {"chunked_twice", ok, coding + coding},
        {"chunked_twice_in_one", ok, "Transfer-Encoding: chunked, chunked\r\n"},
        {"chunked_and_length", ok, coding + "Content-Length: 27\r\n"},
        {"length_and_chunked", ok, "Content-Length: 27\r\n" + coding},
        {"chunked_in_version_1_0", "HTTP/1.0 200 OK", coding},
    };
}

/// Heads with status 200.
inline std::vector<answer_head_case> valid_answer_heads()
{
    const std::string ok = "HTTP/1.1 200 OK";
    return {
        {"plain", ok, answer_length},
        {"until_close", ok, ""},
        {"empty_reason", "HTTP/1.1 200 ", answer_length},
        {"high_byte_in_reason", "HTTP/1.1 200 \xe9", answer_length},
        {"version_1_0", "HTTP/1.0 200 OK", answer_length},
        {"all_bytes_of_names", ok,
         "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + answer_length},
        {"empty_value", ok, "Some-Field:\r\n" + answer_length},
        {"high_byte_in_value", ok, "Some-Field: \xe9\r\n" + answer_length},
        {"tab_in_value", ok, "Some-Field:\ta\tz\t\r\n" + answer_length},
        {"after_interim",
         "HTTP/1.1 102 Processing\r\nSome-Field: 1\r\n\r\n" + ok,
         answer_length},
        {"lower_case_length", ok, "content-length:17 \r\n"},
        {"same_length_twice", ok, answer_length + answer_length},
    };
}

} // namespace poplar
