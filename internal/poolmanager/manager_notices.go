package poolmanager

import (
	"context"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// noticeTimeout bounds one notice: the watch of the store is as quick by then.
const noticeTimeout = 500 * time.Millisecond

// Owner returns the owner of a pool as this entry knows it: its fencing token,
// and the entry; 0 where nobody owns it.
func (k *Manager) Owner(service string) (token int64, node string) {
	owner := k.fleet.Get().owners[service]
	return owner.token, owner.entry
}

// SendNotice tells the pool's owner of a change that the store has kept. It does
// not wait for the owner.
func (k *Manager) SendNotice(n Notice) {
	view := k.fleet.Get()
	owner := n.OwnerEntry
	if owner == k.entryID || owner == "" {
		k.ReceiveNotice(n)
		return
	}
	peers, address := k.peers.Get(), view.members[owner].address
	if peers == nil || address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if err := peers.Notify(ctx, address, n); err != nil {
			k.Log.Debug("owner not notified", append(telemetry.ProblemFields(err), zap.String("job", n.Job))...)
		}
	}()
}

// ReceiveNotice takes in a notice for a pool that may be ours.
func (k *Manager) ReceiveNotice(n Notice) {
	k.mu.Lock()
	t := k.ownerships[n.Service]
	k.mu.Unlock()
	if t == nil || !t.loaded.Load() {
		return
	}
	t.receiveNotice(n)
}

// receiveNotice takes in a change that came after the pool was taken over. Of one
// that came before, the store knows more than the notice does. A job that was
// accepted under another owner is not this one's to start.
func (t *poolOwnership) receiveNotice(n Notice) {
	if n.Revision <= t.token || !n.Cancelled && n.OwnerToken != t.token {
		return
	}
	if n.Cancelled {
		t.pool.CancelJob(n.Job, n.Revision)
	} else {
		item := store.Item{Key: poolstore.JobKey(t.service, n.Job), Value: n.Value, Revision: n.Revision, Created: n.Revision}
		t.addJob(n.Job, item, store.Item{}, t.Clock.Now())
	}
	t.plan.send()
}

// SetPeers gives the way to other entries, once it is known.
func (k *Manager) SetPeers(p Peers) {
	k.peers.Update(func(Peers) (Peers, bool) { return p, true })
}

// Secret returns what entries prove themselves to each other with, and a channel
// that is closed when it may have changed; nil until it is known. It lies in the
// store, which only entries and operators reach.
func (k *Manager) Secret() ([]byte, <-chan struct{}) {
	view, changed := k.fleet.Watch()
	return view.secret, changed
}
