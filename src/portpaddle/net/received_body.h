// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The body of a message that a peer sends.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <new>
#include <stdexcept>

namespace Portpaddle {

/// A body in a string that grows by the bytes that arrived, whatever length was announced. Nothing that a peer sends makes the
/// reader throw: an exception in a step of a read would end the process.
struct ReceivedBody : boost::beast::http::string_body
{
    class reader
    {
    public:
        template<bool isRequest, class Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> &, value_type &body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        /// Appends @p buffers; @p error is buffer_overflow if there is no memory for them.
        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t taken = 0;
            try {
                for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                    body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                    taken += buffer.size();
                }
            } catch (const std::bad_alloc &) {
                error = boost::beast::http::error::buffer_overflow;
            } catch (const std::length_error &) {
                error = boost::beast::http::error::buffer_overflow;
            }
            return taken;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &body_;
    };
};

} // namespace Portpaddle
