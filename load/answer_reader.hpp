/// Reads a streamed answer as its bytes arrive.
#pragma once

#include "load/workload.hpp"

#include <string>
#include <string_view>

namespace poplar::load
{

class answer_reader
{
public:
    explicit answer_reader(load::protocol form) : form_(form) {}

    /// Returns the number of events with text in these bytes.
    std::size_t feed(std::string_view bytes);

    const std::string& text() const
    {
        return text_;
    }
    /// The last event of the form has arrived.
    bool is_done() const
    {
        return done_;
    }
    /// Type of an error event; empty when there was none.
    const std::string& error_type() const
    {
        return error_type_;
    }

private:
    bool take_line(std::string_view line);
    bool take_json(std::string_view line);

    load::protocol form_;
    std::string rest_; ///< Begin of a line that is not whole yet.
    std::string text_;
    std::string error_type_;
    bool done_ = false;
};

/// Text of a whole answer of an entry; empty when it has another form.
std::string whole_text(const std::string& body);

/// {"error":{"type":...}} or {"error":"..."}; empty when it is neither.
std::string error_type_of(const std::string& body);

/// "retry_after_ms" of an error body; zero when absent.
duration retry_after_of(const std::string& body);

} // namespace poplar::load
