package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// noticeTimeout bounds the delivery of one notice: after that time, the owner's watch
// of the store has the change as well.
const noticeTimeout = 500 * time.Millisecond

// Owner returns the last known owner of a pool: its fencing token, 0 if the pool has
// no owner, and the entry.
func (m *Manager) Owner(service string) (token int64, entryID string) {
	owner := m.fleet.Get().owners[service]
	return owner.token, owner.entry
}

// SendNotice sends the pool's owner a change that the store has committed. It does
// not wait for the delivery, which may fail: the owner watches the store too.
func (m *Manager) SendNotice(n Notice) {
	view := m.fleet.Get()
	owner := n.OwnerEntry
	if owner == m.entryID || owner == "" {
		m.ReceiveNotice(n)
		return
	}
	peers, address := m.peers.Get(), view.members[owner].address
	if peers == nil || address == "" {
		return
	}
	go m.runContained(func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		report, err := peers.Notify(ctx, address, n, m.Clock.Now())
		if err != nil {
			m.Log.Debug("notice of a job not delivered to the pool's owner", append(telemetry.ProblemFields(err), zap.String("job", n.Job))...)
		}
		if report != nil {
			m.reports.Set(n.Service, report)
		}
	})
}

// ReceiveNotice applies a notice if this entry owns its pool and has loaded it; else
// it drops the notice.
func (m *Manager) ReceiveNotice(n Notice) {
	m.mu.Lock()
	o := m.ownerships[n.Service]
	m.mu.Unlock()
	if o == nil || !o.loaded.Load() {
		return
	}
	o.receiveNotice(n)
}

// receiveNotice applies a change that was committed after the pool was taken over;
// earlier ones were read from the store, in their latest state, when the pool was
// loaded. A job that was accepted under another owner is dropped, as this owner must
// not start it.
func (o *poolOwnership) receiveNotice(n Notice) {
	defer o.contain() // the store has the change: the next owner reads it there
	if n.Revision <= o.token || !n.Cancelled && n.OwnerToken != o.token {
		return
	}
	if n.Cancelled {
		o.pool.CancelJob(n.Job, n.Revision)
	} else {
		item := store.Item{Key: poolstore.JobKey(o.service, n.Job), Value: n.Value, Revision: n.Revision, Created: n.Revision}
		o.addJob(n.Job, item, store.Item{}, o.Clock.Now())
	}
	o.plan.send()
}

// SetPeers sets the client by which notices reach other entries.
func (m *Manager) SetPeers(p Peers) {
	m.peers.Update(func(Peers) (Peers, bool) { return p, true })
}

// Secret returns the secret by which entries authenticate each other, nil until it
// is known, and a channel that is closed when it may have changed. The secret is in
// the store, which only entries and operators can reach.
func (m *Manager) Secret() ([]byte, <-chan struct{}) {
	view, changed := m.fleet.Watch()
	return view.secret, changed
}
