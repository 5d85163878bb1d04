package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"persimmonbay/internal/peer/wire"
	"persimmonbay/internal/problem"
)

// maxConnections bounds the open connections, those that are not yet
// authenticated included. Each entry of a deployment may have one, and a second one
// while it replaces a session.
const maxConnections = 512

// serveTimeout bounds the handling of one call.
const serveTimeout = 10 * time.Second

// Server accepts sessions of other entries and serves their calls.
type Server struct {
	handler     Handler
	key         []byte
	log         *zap.Logger
	connections *semaphore.Weighted // one unit for each open connection
}

// NewServer returns a server that accepts only peers that prove that they have
// key.
func NewServer(handler Handler, key []byte, log *zap.Logger) *Server {
	return &Server{handler: handler, key: key, log: log, connections: semaphore.NewWeighted(maxConnections)}
}

// Serve accepts connections until ctx ends, then completes the calls in
// progress. It returns when all its goroutines have ended. An error means that
// the listener failed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return problem.Wrap(problem.Internal, problem.StepListen, listener.Addr().String(), err)
		}
		if !s.connections.TryAcquire(1) {
			s.log.Warn("peer connection refused: the connection limit is reached", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", c.RemoteAddr().String()))
			_ = c.Close()
			continue
		}
		sessions.Go(func() {
			defer s.connections.Release(1)
			defer s.contain(c.RemoteAddr())
			s.serveConnection(ctx, c)
		})
	}
}

// serveConnection authenticates the peer and serves its session.
func (s *Server) serveConnection(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err := handshake(c, s.key, roleListener, roleDialer)
	if !stop() {
		return
	}
	if err != nil {
		s.log.Warn("peer connection refused: the handshake failed", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", c.RemoteAddr().String()), zap.Error(err))
		return
	}
	if guarded, ok := c.(admitter); ok && !guarded.Admit() {
		return
	}
	session, err := yamux.Server(c, sessionConfig())
	if err != nil {
		s.log.Error("opening the session of a peer failed", zap.String("step", string(problem.StepPeerCall)), zap.Error(err))
		return
	}
	defer session.Close()
	s.serveSession(ctx, session)
}

// serveSession serves the calls of a session until it ends. When ctx ends, it
// sends the peer a yamux go-away, which stops new calls, and closes the session
// after the calls in progress.
func (s *Server) serveSession(ctx context.Context, session *yamux.Session) {
	var calls sync.RWMutex // read-locked by each call, write-locked to close the session
	stop := context.AfterFunc(ctx, func() {
		_ = session.GoAway()
		calls.Lock()
		defer calls.Unlock()
		_ = session.Close()
	})
	defer stop()
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		streams.Go(func() { s.serveStream(ctx, stream, &calls) })
	}
}

// serveStream serves the calls that arrive on a stream one after another, until
// the peer closes it, it has been idle for serverIdleTimeout, or ctx ends.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream, calls *sync.RWMutex) {
	defer stream.Close()
	defer s.contain(stream.RemoteAddr())
	for s.serveCall(ctx, stream, calls) {
	}
}

// contain is deferred by the goroutines that serve a peer. After an unexpected error, the
// peer sees the stream or the connection end without a response: the outcome of the call
// is unknown.
func (s *Server) contain(peer net.Addr) {
	if cause := recover(); cause != nil {
		s.log.Error("unexpected error while serving a peer", zap.String("step", string(problem.StepPeerCall)), zap.Stringer("peer", peer), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// serveCall waits for a call, serves it, and reports whether the stream can
// carry another. The end of ctx ends the wait, but not a call that was received.
func (s *Server) serveCall(ctx context.Context, stream *yamux.Stream, calls *sync.RWMutex) bool {
	if err := stream.SetDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	request := &wire.Request{}
	if err := wire.Read(stream, request); err != nil {
		return false
	}
	calls.RLock()
	defer calls.RUnlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serveTimeout)
	defer cancel()
	if err := stream.SetWriteDeadline(time.Now().Add(serveTimeout)); err != nil {
		return false
	}
	response, err := s.handler.Handle(ctx, request)
	if err != nil {
		response = &wire.Response{Failure: wire.FromError(err)}
	}
	return wire.Write(stream, response) == nil // after an error the caller sees the stream end
}
