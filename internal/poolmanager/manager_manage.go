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

// manageEvery is how often ownership is looked at when nothing changed: pools
// without owner become free for others by time alone.
const manageEvery = 250 * time.Millisecond

// manage registers this entry and takes over pools that nobody owns, until ctx
// ends.
func (k *Manager) manage(ctx context.Context) {
	started := k.Clock.Now()
	var registered int64
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-k.Clock.After(manageEvery):
		}
		lease, _, ok := k.session.current()
		if !ok {
			continue
		}
		if registered != lease && k.register(ctx, lease) {
			registered = lease
		}
		k.makeSecret(ctx)
		if registered == lease {
			k.takeOver(ctx, lease, started.Add(k.timing.StartupDelay))
		}
	}
}

// register keeps that this entry is alive, instead of what an earlier incarnation of it
// kept. No copy of an earlier registration can follow, as each expects the key as
// it was.
func (k *Manager) register(ctx context.Context, lease int64) bool {
	limited, cancel := context.WithTimeout(ctx, k.timing.StoreTimeout)
	defer cancel()
	value, err := poolstore.EncodeMember(k.address, k.weight)
	if err != nil {
		k.Log.Error("not registered", telemetry.ProblemFields(err)...)
		return false
	}
	keys := []string{poolstore.MemberKey(k.entryID)}
	for {
		txn := store.Txn{Writes: []store.Write{{Key: keys[0], Value: value, Lease: lease}}}
		k.member.expect(&txn, keys)
		revision, err := k.Store.Commit(limited, txn)
		if err == nil {
			k.member.wrote(&txn, keys, revision)
			return true
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || !k.member.correct(conflict, keys) {
			k.Log.Info("not registered yet", telemetry.ProblemFields(err)...)
			return false
		}
	}
}

// services returns what has an owner: all pools, and the machine controller role where
// the platform lets them be ordered.
func (k *Manager) services() []string {
	config := k.config.Get()
	if config == nil {
		return nil
	}
	if k.Machines == nil {
		return config.Services()
	}
	return append(config.Services(), machineControllerRole)
}

// machineControllerRole is the name under which the machine controller role has its owner; no
// service has it, as names of services hold no blanks.
const machineControllerRole = "machine duty"

// takeOver acquires the pools that are free. Since settled, all entries that
// started with this one should be known.
func (k *Manager) takeOver(ctx context.Context, lease int64, settled time.Time) {
	view := k.fleet.Get()
	if !view.known {
		return
	}
	services := k.services()
	assigned := ownership.Assign(services, view.alive())
	for _, service := range services {
		if k.owns(service) {
			continue
		}
		owner := view.owners[service]
		stale := owner.entry == k.entryID // left by an earlier incarnation of this entry
		free := owner.entry == "" && k.Clock.Now().After(settled) && (assigned[service] == k.entryID || k.Clock.Now().Sub(scheduler.Later(owner.since, settled)) > k.timing.TakeOverAfter)
		if stale || free {
			k.acquire(ctx, service, owner, lease)
		}
	}
}

func (k *Manager) owns(service string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ownerships[service] != nil
}

// acquire makes this entry the owner of a pool, if nobody was faster.
func (k *Manager) acquire(ctx context.Context, service string, owner ownerEntry, lease int64) {
	key := poolstore.OwnerKey(service)
	expected := int64(0)
	if owner.entry != "" {
		expected = owner.token
	}
	limited, cancel := context.WithTimeout(ctx, k.timing.StoreTimeout)
	defer cancel()
	token, err := k.Store.Commit(limited, store.Txn{
		Expected: []store.Expectation{{Key: key, Revision: expected}},
		Writes:   []store.Write{{Key: key, Value: []byte(k.entryID), Lease: lease}, {Key: poolstore.ChangeKey(service), Value: []byte(k.entryID)}},
	})
	if store.OutcomeUnknown(err) {
		token, err = k.acquired(ctx, key, lease)
	}
	if err != nil {
		if !problem.Is(err, problem.Conflict) {
			k.Log.Info("pool not taken over", append(telemetry.ProblemFields(err), zap.String("service", service))...)
		}
		return
	}
	k.begin(service, token, lease, expected)
}

// acquired finds out whether an ownership whose write was not answered is ours.
func (k *Manager) acquired(ctx context.Context, key string, lease int64) (int64, error) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.StoreTimeout)
	defer cancel()
	item, err := k.Store.Get(limited, key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != k.entryID || item.Lease != lease {
		return 0, problem.New(problem.Conflict, problem.StepLease, key, "another entry owns it")
	}
	return item.Revision, nil
}

// begin starts to keep a pool. past is the fencing token of its last owner if
// that was an earlier incarnation of this entry, which orders nothing any more; else 0.
func (k *Manager) begin(service string, token, lease, past int64) {
	k.Log.Info("pool taken over", zap.String("service", service), zap.Int64("token", token))
	t := newPoolOwnership(k, service, token, lease)
	t.past = past
	k.mu.Lock()
	k.ownerships[service] = t
	k.mu.Unlock()
	go func() {
		defer close(t.done)
		if service == machineControllerRole {
			t.runMachineController()
		} else {
			t.runPool()
		}
		k.mu.Lock()
		delete(k.ownerships, service)
		k.mu.Unlock()
		k.Log.Info("pool given up", zap.String("service", service), zap.Int64("token", token))
		k.changed.send()
	}()
}

// handOver gives away all pools.
func (k *Manager) handOver() {
	k.mu.Lock()
	tenures := make([]*poolOwnership, 0, len(k.ownerships))
	for _, t := range k.ownerships {
		tenures = append(tenures, t)
	}
	k.mu.Unlock()
	for _, t := range tenures {
		t.handOver()
	}
	for _, t := range tenures {
		<-t.done
	}
}
