#include "carobshift/peer/peer_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include <exception>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/peer/internal/frame_io.h"
#include "carobshift/peer/internal/peer_session.h"
#include "carobshift/peer/peer_codec.h"

namespace carobshift {
namespace {

// Calls the handler's function for the type of a request.
class RequestDispatcher {
 public:
  explicit RequestDispatcher(PeerHandler& handler) : handler_(handler) {}
  PeerReply operator()(const ForwardCall& call) const {
    return handler_.OnForwardCall(call);
  }
  PeerReply operator()(const QueryOutcome& query) const {
    return handler_.OnQueryOutcome(query);
  }
  PeerReply operator()(const FetchConfig& fetch) const {
    return handler_.OnFetchConfig(fetch);
  }

 private:
  PeerHandler& handler_;
};

class Connection : public Poco::Net::TCPServerConnection {
 public:
  Connection(const Poco::Net::StreamSocket& socket,
             const std::string& secret,
             Milliseconds idle_timeout,
             PeerHandler& handler,
             std::atomic<std::uint64_t>& rejected)
      : TCPServerConnection(socket),
        secret_(secret),
        idle_timeout_(idle_timeout),
        handler_(handler),
        rejected_(rejected) {}

  // Exceptions must not terminate the process; otherwise they would reach
  // POCO's error handler.
  void run() override {
    try {
      const Poco::Timespan timeout(
          std::chrono::duration_cast<Microseconds>(idle_timeout_).count());
      socket().setReceiveTimeout(timeout);
      socket().setSendTimeout(timeout);
      socket().setNoDelay(true);
      const Status ended = Serve();
      if (!ended.ok() && ended.error().code == ResultCode::kPeerRejected)
        ++rejected_;
    } catch (const std::exception&) {
      ++rejected_;
    }
  }

 private:
  // Serves until the peer closes the connection or violates the protocol.
  Status Serve() {
    const std::string random = RandomBytes(kPeerRandomBytes);
    if (Status sent = WriteFrame(socket(), random); !sent.ok())
      return sent;
    const Result<std::string> hello =
        ReadFrame(socket(), kPeerRandomBytes + kPeerMacBytes);
    if (!hello.ok())
      return hello.error();
    if (hello.value().size() != kPeerRandomBytes + kPeerMacBytes)
      return Error{ResultCode::kPeerRejected, "a peer's greeting is damaged"};
    const std::string_view client_hello = hello.value();
    PeerSession session(secret_, random,
                        client_hello.substr(0, kPeerRandomBytes),
                        PeerSession::Side::kServer);
    const Result<std::string> proof =
        session.Open(client_hello.substr(kPeerRandomBytes));
    if (!proof.ok())
      return proof.error();
    Status status;
    while (status.ok())
      status = ServeOne(session);
    return status;
  }

  Status ServeOne(PeerSession& session) {
    const Result<std::string> frame = ReadFrame(socket(), kMaxPeerFrameBytes);
    if (!frame.ok())
      return frame.error();
    const Result<std::string> payload = session.Open(frame.value());
    if (!payload.ok())
      return payload.error();
    const Result<PeerRequest> request = DecodePeerRequest(payload.value());
    if (!request.ok())
      return request.error();
    const PeerReply reply =
        std::visit(RequestDispatcher(handler_), request.value());
    return WriteFrame(socket(), session.Seal(EncodePeerReply(reply)));
  }

  const std::string& secret_;
  Milliseconds idle_timeout_;
  PeerHandler& handler_;
  std::atomic<std::uint64_t>& rejected_;
};

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  ConnectionFactory(const std::string& secret,
                    Milliseconds idle_timeout,
                    PeerHandler& handler,
                    std::atomic<std::uint64_t>& rejected)
      : secret_(secret),
        idle_timeout_(idle_timeout),
        handler_(handler),
        rejected_(rejected) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new Connection(socket, secret_, idle_timeout_, handler_, rejected_);
  }

 private:
  const std::string& secret_;
  Milliseconds idle_timeout_;
  PeerHandler& handler_;
  std::atomic<std::uint64_t>& rejected_;
};

}  // namespace

struct PeerServer::Listener {
  Listener(const PeerServerOptions& options, ConnectionFactory* factory)
      : threads("peer", 2, options.max_connections),
        socket(
            Poco::Net::SocketAddress(options.listen.host, options.listen.port)),
        server(factory, threads, socket, Params(options)) {}

  static Poco::Net::TCPServerParams* Params(const PeerServerOptions& options) {
    auto* params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(options.max_connections);
    params->setMaxQueued(options.max_connections);
    return params;
  }

  Poco::ThreadPool threads;
  Poco::Net::ServerSocket socket;
  Poco::Net::TCPServer server;
};

PeerServer::PeerServer(PeerServerOptions options,
                       std::string secret,
                       PeerHandler& handler)
    : options_(std::move(options)),
      secret_(std::move(secret)),
      handler_(handler) {}

PeerServer::~PeerServer() {
  Stop();
}

Result<NetAddress> PeerServer::Start() {
  try {
    listener_ = std::make_unique<Listener>(
        options_, new ConnectionFactory(secret_, options_.idle_timeout,
                                        handler_, rejected_));
    listener_->server.start();
    return NetAddress{options_.listen.host, listener_->socket.address().port()};
  } catch (const Poco::Exception& e) {
    listener_.reset();
    return Error{ResultCode::kInvalidSettings, "can't listen for peers on " +
                                                   options_.listen.ToString() +
                                                   ": " + e.displayText()};
  }
}

void PeerServer::Stop() {
  if (!listener_)
    return;
  listener_->server.stop();
  listener_->threads.joinAll();
  listener_.reset();
}

}  // namespace carobshift
