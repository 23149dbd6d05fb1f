#include "net/transfer.hpp"

#include "net/socket.hpp"

#include <algorithm>
#include <unistd.h>

namespace poplar::net
{

namespace
{

template <class Value>
void set_option(CURL* handle, CURLoption option, Value value)
{
    curl_easy_setopt(handle, option, value);
}

constexpr unsigned first_error_status = 400;
/// libcurl limits a head in the same way, but not the trailers of a body.
constexpr std::size_t max_head_bytes = std::size_t(256) << 10;

/// Methods that may be repeated without effect (RFC 9110, 9.2.1).
bool is_safe_method(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

/// A header with an empty value needs the form "Name;" in libcurl.
std::string header_line(const header& h)
{
    return h.value.empty() ? h.name + ";" : h.name + ": " + h.value;
}

} // namespace

transfer::transfer(exchange_number number, client_request request,
                   client_hooks hooks)
    : number_(number), request_(std::move(request)), hooks_(std::move(hooks)),
      handle_(curl_easy_init()),
      lines_([this](std::string_view name, std::string_view value)
             { add_header(name, value); }),
      end_(now() + request_.timeout), last_bytes_(now())
{
    configure();
}

transfer::~transfer()
{
    curl_easy_cleanup(handle_);
    curl_slist_free_all(header_list_);
}

void transfer::configure()
{
    const std::string url = "http://" + to_string(request_.to) + request_.path;
    set_option(handle_, CURLOPT_URL, url.c_str());
    set_option(handle_, CURLOPT_PRIVATE, this);
    set_option(handle_, CURLOPT_PROTOCOLS_STR, "http");
    set_option(handle_, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
    set_option(handle_, CURLOPT_PROXY, "");
    set_option(handle_, CURLOPT_NOSIGNAL, 1L);
    set_option(handle_, CURLOPT_PATH_AS_IS, 1L);
    set_option(
        handle_, CURLOPT_CONNECTTIMEOUT_MS,
        long(std::max<std::int64_t>(1, to_milliseconds(request_.timeout))));
    set_option(handle_, CURLOPT_FRESH_CONNECT, long(request_.fresh_connection));
    set_option(handle_, CURLOPT_FORBID_REUSE, long(request_.fresh_connection));
    set_option(handle_, CURLOPT_HEADERFUNCTION, &transfer::on_header);
    set_option(handle_, CURLOPT_HEADERDATA, this);
    set_option(handle_, CURLOPT_WRITEFUNCTION, &transfer::on_body);
    set_option(handle_, CURLOPT_WRITEDATA, this);
    set_option(handle_, CURLOPT_PREREQFUNCTION, &transfer::on_before_send);
    set_option(handle_, CURLOPT_PREREQDATA, this);
    set_option(handle_, CURLOPT_CLOSESOCKETFUNCTION, &transfer::on_close);
    if (request_.ends_when_silent)
        set_option(handle_, CURLOPT_SOCKOPTFUNCTION, &transfer::on_socket);
    set_method();
    set_headers();
}

int transfer::on_socket(void* /*cls*/, curl_socket_t socket,
                        curlsocktype /*purpose*/)
{
    end_when_silent(socket);
    return CURL_SOCKOPT_OK;
}

/// The kernel would go on sending a request after its exchange has ended.
int transfer::on_close(void* /*cls*/, curl_socket_t socket)
{
    if (has_unacknowledged_output(socket))
        discard_output_on_close(socket);
    return close(socket);
}

void transfer::set_method()
{
    const std::string& method = request_.method;
    if (method == "HEAD")
        return set_option(handle_, CURLOPT_NOBODY, 1L);
    const bool needs_length = method == "POST" || method == "PUT";
    if (needs_length || !request_.body.empty())
    {
        set_option(handle_, CURLOPT_POST, 1L);
        set_option(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                   curl_off_t(request_.body.size()));
        set_option(handle_, CURLOPT_POSTFIELDS, request_.body.c_str());
    }
    set_option(handle_, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void transfer::set_headers()
{
    // Without these lines libcurl waits for "100 Continue" before a large body
    // and declares a form as content type.
    header_list_ = curl_slist_append(header_list_, "Expect:");
    if (!find_header(request_.headers, "Content-Type"))
        header_list_ = curl_slist_append(header_list_, "Content-Type:");
    for (const header& h : request_.headers)
        header_list_ = curl_slist_append(header_list_, header_line(h).c_str());
    set_option(handle_, CURLOPT_HTTPHEADER, header_list_);
}

int transfer::on_before_send(void* cls, char* /*remote*/, char* /*local*/,
                             int /*remote_port*/, int /*local_port*/)
{
    auto* self = static_cast<transfer*>(cls);
    // libcurl sends any request again by itself when a kept connection closes
    // without an answer, although the first one may have been carried out.
    if (self->sent_ && !is_safe_method(self->request_.method))
        return CURL_PREREQFUNC_ABORT;
    self->sent_ = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t transfer::on_header(char* data, std::size_t size, std::size_t count,
                                void* cls)
{
    auto* self = static_cast<transfer*>(cls);
    self->last_bytes_ = now();
    self->head_bytes_ += size * count;
    const bool is_taken = self->head_bytes_ <= max_head_bytes &&
                          self->take_header_line({data, size * count});
    return is_taken ? size * count : 0;
}

bool transfer::take_header_line(std::string_view line)
{
    if (lines_.awaits_head())
        result_.response.headers.clear();
    if (!lines_.take(line))
        return false;
    // A faulty server may write a refusal once more. As answers carry no id, it
    // would be taken for the answer to the next request of the connection.
    if (lines_.has_whole_head() && lines_.status() >= first_error_status)
        set_option(handle_, CURLOPT_FORBID_REUSE, 1L);
    return true;
}

void transfer::add_header(std::string_view name, std::string_view value)
{
    result_.response.headers.push_back({std::string(name), std::string(value)});
}

std::size_t transfer::on_body(char* data, std::size_t size, std::size_t count,
                              void* cls)
{
    auto* self = static_cast<transfer*>(cls);
    const std::string_view piece(data, size * count);
    self->last_bytes_ = now();
    if (self->hooks_.body_piece)
        self->paused_ = !self->hooks_.body_piece(piece);
    else if (piece.size() > self->body_space())
        return 0;
    else
        self->result_.response.body.append(piece);
    return self->paused_ ? CURL_WRITEFUNC_PAUSE : piece.size();
}

std::size_t transfer::body_space() const
{
    return request_.max_response_bytes - result_.response.body.size();
}

mono_time transfer::deadline() const
{
    if (request_.idle_timeout == duration::zero())
        return end_;
    const mono_time since = paused_ ? now() : last_bytes_;
    return std::min(end_, since + request_.idle_timeout);
}

void transfer::resume()
{
    paused_ = false;
    last_bytes_ = now();
    curl_easy_pause(handle_, CURLPAUSE_CONT);
}

client_failure transfer::classify(CURLcode code) const
{
    if (code == CURLE_OK)
        return client_failure::none;
    if (!sent_)
        return client_failure::not_connected;
    return code == CURLE_OPERATION_TIMEDOUT ? client_failure::timed_out
                                            : client_failure::broken;
}

void transfer::finish(CURLcode code)
{
    if (!lines_.fault().empty())
        return fail(client_failure::broken, "not an answer: " + lines_.fault());
    // libcurl reports an answer that ends within its head as complete.
    if (code == CURLE_OK && !lines_.has_whole_head())
        return fail(client_failure::broken, "the head of the answer broke off");
    // The hooks for heads and bodies refuse bytes only above their limits.
    if (code == CURLE_WRITE_ERROR)
        return fail(client_failure::broken, "the answer is too long");
    fail(classify(code), code == CURLE_OK ? "" : curl_easy_strerror(code));
}

void transfer::fail(client_failure failure, const std::string& detail)
{
    if (failure == client_failure::timed_out && !sent_)
        failure = client_failure::not_connected;
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    result_.failure = failure;
    result_.detail = detail;
    result_.response.status = static_cast<unsigned>(status);
    if (hooks_.done)
        hooks_.done(std::move(result_));
}

} // namespace poplar::net
