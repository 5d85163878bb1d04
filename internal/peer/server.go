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

// maxConnections bounds the connections of peers and strangers together.
const maxConnections = 64

// serveTimeout bounds the work on one call.
const serveTimeout = 10 * time.Second

// Server accepts the sessions of other entries.
type Server struct {
	handler Handler
	key     []byte
	log     *zap.Logger
	room    *semaphore.Weighted
}

// NewServer returns a server that demands proof of key.
func NewServer(handler Handler, key []byte, log *zap.Logger) *Server {
	return &Server{handler: handler, key: key, log: log, room: semaphore.NewWeighted(maxConnections)}
}

// Serve accepts connections until ctx ends. It returns when all its
// goroutines have.
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
		if !s.room.TryAcquire(1) {
			s.log.Warn("connection refused: too many", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", c.RemoteAddr().String()))
			_ = c.Close()
			continue
		}
		sessions.Go(func() {
			defer s.room.Release(1)
			s.serveConnection(ctx, c)
		})
	}
}

func (s *Server) serveConnection(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err := handshake(c, s.key, roleListener, roleDialer)
	if !stop() {
		return
	}
	if err != nil {
		s.log.Warn("peer refused", zap.String("step", string(problem.StepAuthorize)), zap.String("peer", c.RemoteAddr().String()), zap.Error(err))
		return
	}
	session, err := yamux.Server(c, sessionConfig())
	if err != nil {
		s.log.Error("session failed", zap.String("step", string(problem.StepPeerCall)), zap.Error(err))
		return
	}
	defer session.Close()
	s.serveSession(ctx, session)
}

// serveSession serves until the session ends. When ctx does, the peer is told
// to begin no more calls and those at work are served to their end.
func (s *Server) serveSession(ctx context.Context, session *yamux.Session) {
	var atWork sync.RWMutex // held for reading by each call, for writing to close
	stop := context.AfterFunc(ctx, func() {
		_ = session.GoAway()
		atWork.Lock()
		defer atWork.Unlock()
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
		streams.Go(func() { s.serveStream(ctx, stream, &atWork) })
	}
}

// serveStream serves the calls that come over a stream one by one, until the
// peer closes it or ctx ends.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream, atWork *sync.RWMutex) {
	defer stream.Close()
	for s.serveCall(ctx, stream, atWork) {
	}
}

// serveCall waits for a call and serves it, and reports whether another may
// follow. A call that has come is served to its end.
func (s *Server) serveCall(ctx context.Context, stream *yamux.Stream, atWork *sync.RWMutex) bool {
	if err := stream.SetDeadline(time.Now().Add(idleLimit)); err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	request := &wire.Request{}
	if err := wire.Read(stream, request); err != nil {
		return false
	}
	atWork.RLock()
	defer atWork.RUnlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serveTimeout)
	defer cancel()
	if err := stream.SetWriteDeadline(time.Now().Add(serveTimeout)); err != nil {
		return false
	}
	response, err := s.handler.Handle(ctx, request)
	if err != nil {
		response = &wire.Response{Failure: wire.FromError(err)}
	}
	return wire.Write(stream, response) == nil // the asking side sees a broken stream
}
