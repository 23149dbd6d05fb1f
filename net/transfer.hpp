/// One exchange of an http_client as libcurl sees it. Used on the client's
/// thread only.
#pragma once

#include "net/answer_lines.hpp"
#include "net/http_client.hpp"

#include <curl/curl.h>
#include <memory>

namespace poplar::net
{

class transfer
{
public:
    transfer(exchange_number number, client_request request,
             client_hooks hooks);
    ~transfer();
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    CURL* handle() const
    {
        return handle_;
    }
    exchange_number number() const
    {
        return number_;
    }
    /// Time at which it fails unless bytes arrive before. The idle limit does
    /// not run while the exchange is paused.
    mono_time deadline() const;
    mono_time listed_deadline; ///< As last listed by the client.
    void resume();

    /// Calls `done` with the result of libcurl.
    void finish(CURLcode code);
    /// Calls `done` with a failure found by the client itself.
    void fail(client_failure failure, const std::string& detail);

private:
    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* cls);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count,
                               void* cls);
    static int on_socket(void* cls, curl_socket_t socket, curlsocktype purpose);
    static int on_close(void* cls, curl_socket_t socket);
    static int on_before_send(void* cls, char* remote, char* local,
                              int remote_port, int local_port);

    void configure();
    void set_method();
    void set_headers();
    /// False if it is no line of an answer.
    bool take_header_line(std::string_view line);
    void add_header(std::string_view name, std::string_view value);
    /// Bytes that may still be added to the body of the response.
    std::size_t body_space() const;
    client_failure classify(CURLcode code) const;

    const exchange_number number_;
    const client_request request_;
    client_hooks hooks_;
    CURL* handle_;
    curl_slist* header_list_ = nullptr;
    client_result result_;
    bool sent_ = false; ///< The request may have left.
    answer_lines lines_;
    std::size_t head_bytes_ = 0; ///< Of all heads and trailers.
    mono_time end_;              ///< Limit for the whole exchange.
    bool paused_ = false;
    mono_time last_bytes_;
};

} // namespace poplar::net
