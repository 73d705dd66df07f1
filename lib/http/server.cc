// Hands the requests of the event-driven server to threads with blocking
// handlers.

#include "yuccastair/http/server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "yuccastair/stream/server.h"
#include "yuccastair/support/bounded_ring.h"
#include "yuccastair/support/clock.h"
#include "yuccastair/support/log.h"

namespace yuccastair::http {
namespace {

namespace beast_http = stream::http;
using stream::Task;

// How long a thread without work waits before it looks again.
constexpr std::chrono::milliseconds kIdleWait{1000};

stream::ServerLimits LimitsOf(const Server::Options& options) {
  stream::ServerLimits limits;
  limits.max_body_bytes = options.max_body_bytes;
  limits.header_timeout = options.read_timeout;
  limits.idle_timeout = options.keep_alive_timeout;
  return limits;
}

std::string ToText(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Reads the rest of a body, which the server bounds.
Task<stream::ErrorCode> ReadRest(stream::BodySource& body) {
  bool done = body.whole();
  while (!done) {
    const stream::ErrorCode error = co_await body.more(body.begin, done);
    if (error)
      co_return error;
  }
  co_return stream::ErrorCode();
}

/// An answer to HEAD keeps the length that the handler states.
bool StatesLength(const Response& response) {
  return !FindHeader(response.headers, "Content-Length").empty();
}

Task<void> Deliver(stream::ServerExchange& exchange, Response response) {
  beast_http::header<false> head;
  head.result(static_cast<unsigned>(response.status));
  const bool is_head = exchange.is_head();
  const bool bodiless = response.status == 204 || response.status == 304;
  for (const Header& header : response.headers) {
    if (is_head || !SameName(header.name, "Content-Length"))
      head.insert(header.name, header.value);
  }
  if (response.close_connection)
    exchange.CloseAfterAnswer();
  stream::BodySource body;
  if (!bodiless && !(is_head && StatesLength(response)))
    body.length = response.body.size();
  if (!bodiless && !is_head)
    body.begin = std::move(response.body);
  co_await exchange.Respond(std::move(head), body);
}

}  // namespace

class Server::Impl {
 public:
  explicit Impl(Options options)
      : options_(std::move(options)),
        jobs_(options_.max_in_flight),
        server_(context_,
                options_.listen,
                [this](stream::ServerExchange& exchange) {
                  return Serve(exchange);
                }) {
    server_.SetLimits(LimitsOf(options_));
    loop_ = std::thread([this] { context_.run(); });
  }

  ~Impl() {
    context_.stop();
    loop_.join();
    jobs_.Close();
    for (std::thread& handler : handlers_)
      handler.join();
  }

  void StartDraining() {
    RunOnLoop([this] { server_.StartDraining(); });
  }

  void RefuseRequests() {
    RunOnLoop([this] {
      refusing_ = true;
      server_.StartDraining();
      server_.CloseIdle();
    });
  }

  void StopListening() {
    RunOnLoop([this] { server_.StopListening(); });
  }

  std::size_t unanswered() const { return unanswered_; }

  std::size_t connections() {
    std::size_t count = 0;
    RunOnLoop([this, &count] { count = server_.connections(); });
    return count;
  }

 private:
  /// Counts a request for as long as it exists.
  class UnansweredRequest {
   public:
    explicit UnansweredRequest(std::atomic<std::size_t>& count)
        : count_(count) {
      ++count_;
    }
    ~UnansweredRequest() { --count_; }
    UnansweredRequest(const UnansweredRequest&) = delete;
    UnansweredRequest& operator=(const UnansweredRequest&) = delete;

   private:
    std::atomic<std::size_t>& count_;
  };

  /// Runs \p task on the loop's thread and waits for its end.
  void RunOnLoop(const std::function<void()>& task) {
    const auto done = std::make_shared<std::promise<void>>();
    stream::asio::post(context_, [&task, done] {
      task();
      done->set_value();
    });
    done->get_future().wait();
  }

  /// A request in its handler.
  struct Job {
    explicit Job(stream::asio::io_context& context)
        : finished(context, support::TimePoint::max()) {}

    Request request;
    Response response;
    std::atomic<bool> caller_gone = false;
    // Cancelled when the response is there.
    stream::asio::steady_timer finished;
  };

  Task<void> Serve(stream::ServerExchange& exchange) {
    const auto job = std::make_shared<Job>(context_);
    Request& request = job->request;
    const auto& head = exchange.head();
    request.method = ToText(head.method_string());
    request.path = ToText(head.target());
    for (const auto& field : head)
      request.headers.push_back(
          {ToText(field.name_string()), ToText(field.value())});
    stream::BodySource body;
    stream::ErrorCode error = co_await exchange.ReadBody(body);
    if (!error)
      error = co_await ReadRest(body);
    if (error) {
      if (!exchange.body_too_large()) {
        exchange.Abort();
        co_return;
      }
      Response refusal = Refuse(request, 413);
      co_await Deliver(exchange, std::move(refusal));
      co_return;
    }
    request.body = std::move(body.begin);
    if (refusing_ || in_flight_ >= options_.max_in_flight) {
      Response refusal = Refuse(request, 503);
      co_await Deliver(exchange, std::move(refusal));
      co_return;
    }
    const UnansweredRequest unanswered(unanswered_);
    co_await Handle(exchange, job);
    Response response = std::move(job->response);
    co_await Deliver(exchange, std::move(response));
  }

  Task<void> Handle(stream::ServerExchange& exchange,
                    const std::shared_ptr<Job>& job) {
    // Handlers may keep copies of the request after its job has ended.
    job->request.caller_gone = [weak = std::weak_ptr<Job>(job)] {
      const auto held = weak.lock();
      return !held || held->caller_gone;
    };
    exchange.Watch([job] { job->caller_gone = true; });
    // With a thread for each request in flight none waits for another.
    if (++in_flight_ > handlers_.size())
      handlers_.emplace_back([this] { RunHandlers(); });
    // There is room for all that may be in flight.
    jobs_.TryPush(std::shared_ptr<Job>(job));
    co_await job->finished.async_wait(stream::kAsTuple);
  }

  void RunHandlers() {
    while (!jobs_.closed()) {
      const auto job = jobs_.Pop(kIdleWait);
      if (!job)
        continue;
      RunHandler(**job);
      --in_flight_;
      stream::asio::post(context_,
                         [finished = *job] { finished->finished.cancel(); });
    }
  }

  void RunHandler(Job& job) const {
    try {
      job.response = options_.on_request(job.request);
    } catch (const std::exception& error) {
      support::LogError("http.handler_failed",
                        {{"path", job.request.path}, {"error", error.what()}});
      job.response = Refuse(job.request, 500);
    }
  }

  Response Refuse(const Request& request, int status) const {
    Response response = options_.on_refused(request, status);
    response.close_connection = true;
    return response;
  }

  const Options options_;
  // Requests in a handler or on their way to it.
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<std::size_t> unanswered_ = 0;
  // Used on the loop's thread only.
  bool refusing_ = false;
  support::BoundedRing<std::shared_ptr<Job>> jobs_;
  stream::asio::io_context context_{1};
  // Keeps the loop running after the end of the last connection.
  stream::asio::executor_work_guard<stream::asio::io_context::executor_type>
      loop_work_{context_.get_executor()};
  stream::Server server_;
  // Used on the loop's thread only, and after its end.
  std::vector<std::thread> handlers_;
  std::thread loop_;
};

Server::Server(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Server::~Server() = default;

void Server::StartDraining() {
  impl_->StartDraining();
}

void Server::RefuseRequests() {
  impl_->RefuseRequests();
}

void Server::StopListening() {
  impl_->StopListening();
}

std::size_t Server::unanswered() const {
  return impl_->unanswered();
}

std::size_t Server::connections() const {
  return impl_->connections();
}

}  // namespace yuccastair::http
