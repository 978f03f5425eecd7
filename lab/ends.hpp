// Both ends of HTTP/1.1 as the rig plays them: what happens is told to whoever made them.
#pragma once

#include <functional>
#include <memory>

#include "http/client.hpp"
#include "http/server.hpp"

namespace amberswitch::lab {

class Answering : public http::Server, public std::enable_shared_from_this<Answering> {
public:
    using Take = std::function<void(Time, const std::shared_ptr<Answering>&, http::Message)>;
    Answering(Deadlines& deadlines, Time now, Take take, std::function<void()> gone = {})
        : http::Server(deadlines, now), take_(std::move(take)), gone_(std::move(gone)) {}
    std::string job;                      // what is answered here, for who needs to know
    void blurt(std::string_view bytes) {  // whatever was asked
        if (state() == State::ended) return;
        out().put(bytes);
        wake();
    }

private:
    void request(Time now, http::Message message) override {
        take_(now, shared_from_this(), std::move(message));
    }
    void gone(Time, End) override {
        if (gone_) std::exchange(gone_, nullptr)();
    }
    Take take_;
    std::function<void()> gone_;
};

class Asking : public http::Client, public std::enable_shared_from_this<Asking> {
public:
    using Answered = std::function<void(Time, const http::Message&)>;
    using Broke = std::function<void(Time, End)>;

    // One exchange at a time; the connection must be new or idle.
    void ask(std::string_view request, Answered answered, Broke broke) {
        answered_ = std::move(answered), broke_ = std::move(broke);
        http::Client::ask(request);
    }
    bool used = false;  // it has carried an exchange before

private:
    void answered(Time now, http::Message message, bool) override {
        const auto self = shared_from_this();
        used = true, broke_ = nullptr;
        if (const Answered answered = std::exchange(answered_, nullptr)) answered(now, message);
    }
    void over(Time now, End how) override {
        const auto self = shared_from_this();
        answered_ = nullptr;
        if (const Broke broke = std::exchange(broke_, nullptr)) broke(now, how);
    }
    Answered answered_;
    Broke broke_;
};

}  // namespace amberswitch::lab
