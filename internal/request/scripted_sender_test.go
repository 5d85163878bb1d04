package request

import (
	"context"
	"sync"

	"persimmonbay/internal/configuration"
	"persimmonbay/internal/fleet"
)

// scriptedSender answers as script does for the instance. mu guards sent and
// fresh.
type scriptedSender struct {
	script func(ctx context.Context, instance string) (Answer, error)
	mu     sync.Mutex
	sent   []string // instances, in order
	fresh  []bool   // whether a fresh connection was required
}

// Send implements Sender.
func (s *scriptedSender) Send(ctx context.Context, i fleet.Instance, _ *configuration.Service, _ *Request) (Answer, error) {
	s.mu.Lock()
	s.sent = append(s.sent, i.ID)
	s.fresh = append(s.fresh, RequiresFreshConnection(ctx))
	s.mu.Unlock()
	return s.script(ctx, i.ID)
}

func (s *scriptedSender) instances() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.sent...)
}

func (s *scriptedSender) freshRequired() []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]bool(nil), s.fresh...)
}
