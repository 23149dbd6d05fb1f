/// What counts as the head of an answer. Beast and libcurl accept more than
/// HTTP/1.x allows (RFC 9112), each in its own way, so that heads are checked
/// here before they are believed.
#pragma once

#include "net/http_server.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace poplar::net
{

/// Takes the lines of an answer's heads and trailer one by one.
class answer_lines
{
public:
    /// Takes a line with its line end. Returns false if no answer has such a
    /// line; `fault` then says why.
    bool take(std::string_view line);

    const std::string& fault() const
    {
        return fault_;
    }
    bool has_whole_head() const
    {
        return part_ == part::trailer;
    }
    /// Of the last status line.
    unsigned status() const
    {
        return status_;
    }
    /// Fields of the last head, without those of a trailer.
    const std::vector<header>& fields() const
    {
        return fields_;
    }

private:
    enum class part
    {
        status_line,
        fields,
        trailer
    };

    bool take_status_line(std::string_view line);
    bool take_field(std::string_view line);
    bool end_head();
    bool has_valid_length() const;
    bool has_understood_coding() const;
    bool fail(const char* fault);

    part part_ = part::status_line;
    bool is_version_1_1_ = false;
    unsigned status_ = 0;
    std::vector<header> fields_;
    std::string fault_;
};

/// Why the bytes of a whole head are not those of an answer; empty if they are.
std::string find_head_fault(std::string_view head);

} // namespace poplar::net
