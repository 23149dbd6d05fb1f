#include "entry/chat_answer.hpp"

#include <utility>

namespace poplar::entry
{

chat_answer::chat_answer(net::responder_ptr responder, chat_metadata metadata,
                         bool is_stream, std::size_t buffer_bytes)
    : responder_(std::move(responder)), metadata_(std::move(metadata)),
      is_stream_(is_stream), buffer_bytes_(buffer_bytes)
{
}

std::vector<net::header> chat_answer::headers(const char* content_type) const
{
    return {{"Content-Type", content_type},
            {"Cache-Control", "no-store"},
            {"Poplar-Request-Id", metadata_.id},
            {"Poplar-Ran", "yes"}};
}

void chat_answer::begin()
{
    if (!std::exchange(has_begun_, true))
        responder_->begin(200, headers("text/event-stream"));
}

void chat_answer::write_pending()
{
    if (pending_.empty())
        return;
    begin();
    unsent_bytes_ = responder_->write(chat_chunk(metadata_, pending_));
    written_bytes_ += pending_.size();
    pending_.clear();
}

void chat_answer::add_text(std::string_view text)
{
    pending_ += text;
    // An answer that is not streamed is sent when it ends. Its size is bounded
    // by max_tokens, so its text counts as written immediately.
    if (!is_stream_)
        written_bytes_ += text.size();
}

bool chat_answer::pump()
{
    if (!is_stream_)
        return true;
    if (unsent_bytes_ >= buffer_bytes_)
        unsent_bytes_ = responder_->write({});
    if (unsent_bytes_ >= buffer_bytes_)
        return false;
    write_pending();
    return unsent_bytes_ < buffer_bytes_;
}

std::size_t chat_answer::take_written_bytes()
{
    return std::exchange(written_bytes_, 0);
}

void chat_answer::end(const chat_usage& usage)
{
    if (!is_stream_)
    {
        responder_->respond({200, headers("application/json"),
                             chat_body(metadata_, pending_, usage)});
        return;
    }
    write_pending();
    begin();
    responder_->write(chat_last_chunk(metadata_, usage));
    responder_->finish();
}

void chat_answer::fail(const failure& f)
{
    if (!has_begun_)
    {
        responder_->respond(failure_response(f, metadata_.id));
        return;
    }
    write_pending();
    responder_->write("data: " + failure_json(f) + "\n\n");
    responder_->finish();
}

} // namespace poplar::entry
