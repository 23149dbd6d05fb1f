/// What counts as the head of an answer. Beast and libcurl accept more than
/// HTTP/1.x allows (RFC 9112), each in its own way, so that heads are checked
/// here before they are believed.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace poplar::net
{

/// Takes the lines of an answer's heads and trailer one by one.
class answer_lines
{
public:
    using field_hook =
        std::function<void(std::string_view name, std::string_view value)>;

    /// `on_field` is called with each field of a head; it may be empty.
    explicit answer_lines(field_hook on_field = {})
        : on_field_(std::move(on_field))
    {
    }

    /// Takes a line with its line end. Returns false if no answer has such a
    /// line; `fault` then says why.
    bool take(std::string_view line);

    const std::string& fault() const
    {
        return fault_;
    }
    /// True at first and after the head of an interim answer.
    bool awaits_head() const
    {
        return part_ == part::status_line;
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

private:
    enum class part
    {
        status_line,
        fields,
        trailer
    };
    /// What the fields of a head say of the length of the body.
    struct framing
    {
        std::string length; ///< Empty if not stated.
        bool has_invalid_length = false;
        unsigned codings = 0; ///< Number of fields.
        bool has_unknown_coding = false;
    };

    bool take_status_line(std::string_view line);
    bool take_field(std::string_view line);
    void note_framing(std::string_view name, std::string_view value);
    bool end_head();
    bool fail(const char* fault);

    field_hook on_field_;
    part part_ = part::status_line;
    bool is_version_1_1_ = false;
    unsigned status_ = 0;
    framing framing_; ///< Of the last head.
    std::string fault_;
};

/// Why the bytes of a whole head are not those of an answer; empty if they are.
std::string find_head_fault(std::string_view head);

} // namespace poplar::net
