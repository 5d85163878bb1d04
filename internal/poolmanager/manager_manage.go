package poolmanager

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"persimmonbay/internal/ownership"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// manageInterval is the longest time between two checks of ownership: a pool
// without an owner becomes free for other entries as time passes, without a change
// in the store.
const manageInterval = 250 * time.Millisecond

// manage registers this entry and takes over pools without an owner, until ctx ends.
func (m *Manager) manage(ctx context.Context) {
	started := m.Clock.Now()
	var registered int64
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-m.Clock.After(manageInterval):
		}
		lease, _, ok := m.session.current()
		if !ok {
			continue
		}
		if registered != lease && m.register(ctx, lease) {
			registered = lease
		}
		m.createSecret(ctx)
		if registered == lease {
			m.takeOver(ctx, lease, started.Add(m.timing.StartupDelay))
		}
	}
}

// register writes this entry's registration, which ends with the lease, in place of
// the one of an earlier incarnation. A delayed copy of an earlier registration
// cannot overwrite it, as each one is conditional on the key's revision. register
// reports whether the registration is stored.
func (m *Manager) register(ctx context.Context, lease int64) bool {
	limited, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	value, err := poolstore.EncodeMember(m.address, m.weight)
	if err != nil {
		m.Log.Error("registration of this entry not encoded, trying again", telemetry.ProblemFields(err)...)
		return false
	}
	keys := []string{poolstore.MemberKey(m.entryID)}
	for {
		txn := store.Txn{Writes: []store.Write{{Key: keys[0], Value: value, Lease: lease}}}
		m.member.expect(&txn, keys)
		revision, err := m.Store.Commit(limited, txn)
		if err == nil {
			m.member.recordWrites(&txn, keys, revision)
			return true
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || !m.member.recordConflict(conflict, keys) {
			m.Log.Info("registration of this entry not written, trying again", telemetry.ProblemFields(err)...)
			return false
		}
	}
}

// services returns all that has an owner: the pools by service, and the machine
// controller role if the platform accepts orders for machines. It returns nil before
// a configuration is known.
func (m *Manager) services() []string {
	config := m.config.Get()
	if config == nil {
		return nil
	}
	if m.Machines == nil {
		return config.Services()
	}
	return append(config.Services(), machineControllerRole)
}

// machineControllerRole is used instead of a service in the owner's key of the
// machine controller role. No service has this name, as names of services contain no
// blanks.
const machineControllerRole = "machine duty"

// takeOver acquires the pools that an earlier incarnation of this entry owned, and those
// without an owner: the ones assigned to this entry at once, others after TakeOverAfter,
// or longer if this entry is weaker than others.
// It acquires none of the latter before settled, as entries that started together with
// this one may not be registered yet.
func (m *Manager) takeOver(ctx context.Context, lease int64, settled time.Time) {
	view := m.fleet.Get()
	if !view.known {
		return
	}
	services := m.services()
	members := view.assignable()
	assigned := ownership.Assign(services, members)
	unassignedAfter := time.Duration(ownership.Patience(m.entryID, members) * float64(m.timing.TakeOverAfter))
	for _, service := range services {
		if m.owns(service) {
			continue
		}
		owner := view.owners[service]
		stale := owner.entry == m.entryID // owned by an earlier incarnation of this entry
		free := owner.entry == "" && m.Clock.Now().After(settled) && (assigned[service] == m.entryID || m.Clock.Now().Sub(scheduler.Later(owner.since, settled)) > unassignedAfter)
		if stale || free {
			m.acquire(ctx, service, owner, lease)
		}
	}
}

func (m *Manager) owns(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownerships[service] != nil
}

// acquire makes this entry the owner of a pool, unless the owner has changed since
// it was read.
func (m *Manager) acquire(ctx context.Context, service string, owner poolOwner, lease int64) {
	key := poolstore.OwnerKey(service)
	expected := int64(0)
	if owner.entry != "" {
		expected = owner.token
	}
	limited, cancel := context.WithTimeout(ctx, m.timing.StoreTimeout)
	defer cancel()
	token, err := m.Store.Commit(limited, store.Txn{
		Expected: []store.Expectation{{Key: key, Revision: expected}},
		Writes:   []store.Write{{Key: key, Value: []byte(m.entryID), Lease: lease}, {Key: poolstore.OwnerChangeKey(service), Value: []byte(m.entryID)}},
	})
	if store.OutcomeUnknown(err) {
		token, err = m.confirmAcquired(ctx, key, lease, expected)
	}
	if err != nil {
		if !problem.Is(err, problem.Conflict) {
			m.Log.Info("pool not taken over, trying again", append(telemetry.ProblemFields(err), zap.String("service", service))...)
		}
		return
	}
	m.startOwnership(service, token, lease, expected)
}

// confirmAcquired reads the owner's key after a write whose outcome is unknown. It
// returns the fencing token if the write was applied, else a conflict. The key may still
// name this entry under the token of an ownership that has ended (previousToken).
func (m *Manager) confirmAcquired(ctx context.Context, key string, lease, previousToken int64) (int64, error) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.timing.StoreTimeout)
	defer cancel()
	item, err := m.Store.Get(limited, key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != m.entryID || item.Lease != lease || item.Revision == previousToken {
		return 0, problem.New(problem.Conflict, problem.StepLease, key, "the pool has another owner")
	}
	return item.Revision, nil
}

// startOwnership runs a pool that this entry has acquired, in its own goroutine.
// previousToken is the fencing token of the last owner if that was an earlier
// incarnation of this entry, which sends no orders any more; else 0.
func (m *Manager) startOwnership(service string, token, lease, previousToken int64) {
	m.Log.Info("pool taken over", zap.String("service", service), zap.Int64("token", token))
	o := newPoolOwnership(m, service, token, lease)
	o.previousToken = previousToken
	m.mu.Lock()
	m.ownerships[service] = o
	m.mu.Unlock()
	go func() {
		defer close(o.done)
		o.run()
		o.pauseIfFailed()
		m.mu.Lock()
		delete(m.ownerships, service)
		m.mu.Unlock()
		m.Log.Info("ownership of the pool ended", zap.String("service", service), zap.Int64("token", token))
		m.changed.send()
	}()
}

// handOverAll hands all pools over and waits until their ownerships have ended.
func (m *Manager) handOverAll() {
	m.mu.Lock()
	ownerships := make([]*poolOwnership, 0, len(m.ownerships))
	for _, o := range m.ownerships {
		ownerships = append(ownerships, o)
	}
	m.mu.Unlock()
	for _, o := range ownerships {
		o.requestHandOver()
	}
	for _, o := range ownerships {
		<-o.done
	}
}
