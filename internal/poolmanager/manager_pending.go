package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/telemetry"
)

// pendingTimeout bounds the question to a pool's owner: many times its usual answer
// time, and short enough to read the store instead.
const pendingTimeout = 250 * time.Millisecond

// Pending returns how many jobs of a queue have not begun, as the pool's owner knows;
// known is false if no owner that has loaded the pool answers.
func (m *Manager) Pending(ctx context.Context, service, queue string) (jobs int, known bool) {
	view := m.fleet.Get()
	owner := view.owners[service].entry
	if owner == m.entryID {
		return m.OwnPending(service, queue)
	}
	peers, address := m.peers.Get(), view.members[owner].address
	if peers == nil || address == "" {
		return 0, false
	}
	limited, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	jobs, known, err := peers.Pending(limited, address, service, queue)
	if err != nil {
		m.Log.Debug("pool's owner did not answer how many jobs are pending", append(telemetry.ProblemFields(err), zap.String("service", service))...)
		return 0, false
	}
	return jobs, known
}

// OwnPending returns how many jobs of a queue have not begun; known is false if this
// entry does not own the pool now, or has not loaded it.
func (m *Manager) OwnPending(service, queue string) (jobs int, known bool) {
	m.mu.Lock()
	o := m.ownerships[service]
	m.mu.Unlock()
	if o == nil || !o.loaded.Load() || !o.isValid() {
		return 0, false
	}
	return o.pool.Pending(queue), true
}
