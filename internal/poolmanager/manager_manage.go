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
func (k *Manager) manage(ctx context.Context) {
	started := k.Clock.Now()
	var registered int64
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-k.Clock.After(manageInterval):
		}
		lease, _, ok := k.session.current()
		if !ok {
			continue
		}
		if registered != lease && k.register(ctx, lease) {
			registered = lease
		}
		k.createSecret(ctx)
		if registered == lease {
			k.takeOver(ctx, lease, started.Add(k.timing.StartupDelay))
		}
	}
}

// register writes this entry's registration, which ends with the lease, in place of
// the one of an earlier incarnation. A delayed copy of an earlier registration can
// not overwrite it, as each one is conditional on the key's revision. register
// reports whether the registration is stored.
func (k *Manager) register(ctx context.Context, lease int64) bool {
	limited, cancel := context.WithTimeout(ctx, k.timing.StoreTimeout)
	defer cancel()
	value, err := poolstore.EncodeMember(k.address, k.weight)
	if err != nil {
		k.Log.Error("registration not encoded", telemetry.ProblemFields(err)...)
		return false
	}
	keys := []string{poolstore.MemberKey(k.entryID)}
	for {
		txn := store.Txn{Writes: []store.Write{{Key: keys[0], Value: value, Lease: lease}}}
		k.member.expect(&txn, keys)
		revision, err := k.Store.Commit(limited, txn)
		if err == nil {
			k.member.recordWrites(&txn, keys, revision)
			return true
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) || !k.member.recordConflict(conflict, keys) {
			k.Log.Info("registration not written, trying again", telemetry.ProblemFields(err)...)
			return false
		}
	}
}

// services returns all that has an owner: the pools by service, and the machine
// controller role if the platform accepts orders for machines. It returns nil before
// a configuration is known.
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

// machineControllerRole takes the place of a service in the owner's key of the
// machine controller role. No service has this name, as names of services contain no
// blanks.
const machineControllerRole = "machine duty"

// takeOver acquires the pools that are free: those assigned to this entry at once,
// others after TakeOverAfter without an owner. Before settled, entries that started
// together with this one may not be registered yet, so no pool counts as free.
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

// acquire makes this entry the owner of a pool, unless the owner has changed since
// it was read.
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
		token, err = k.confirmAcquired(ctx, key, lease)
	}
	if err != nil {
		if !problem.Is(err, problem.Conflict) {
			k.Log.Info("pool not taken over, trying again", append(telemetry.ProblemFields(err), zap.String("service", service))...)
		}
		return
	}
	k.start(service, token, lease, expected)
}

// confirmAcquired reads the owner's key after a write whose outcome is unknown. It
// returns the fencing token if the write was applied, else a conflict.
func (k *Manager) confirmAcquired(ctx context.Context, key string, lease int64) (int64, error) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.timing.StoreTimeout)
	defer cancel()
	item, err := k.Store.Get(limited, key)
	if err != nil {
		return 0, err
	}
	if string(item.Value) != k.entryID || item.Lease != lease {
		return 0, problem.New(problem.Conflict, problem.StepLease, key, "the pool has another owner")
	}
	return item.Revision, nil
}

// start runs a pool that this entry has acquired, in its own goroutine.
// previousToken is the fencing token of the last owner if that was an earlier
// incarnation of this entry, which sends no orders any more; else 0.
func (k *Manager) start(service string, token, lease, previousToken int64) {
	k.Log.Info("pool taken over", zap.String("service", service), zap.Int64("token", token))
	t := newPoolOwnership(k, service, token, lease)
	t.previousToken = previousToken
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
		k.Log.Info("ownership of the pool ended", zap.String("service", service), zap.Int64("token", token))
		k.changed.send()
	}()
}

// handOver hands all pools over and waits until their ownerships have ended.
func (k *Manager) handOver() {
	k.mu.Lock()
	ownerships := make([]*poolOwnership, 0, len(k.ownerships))
	for _, t := range k.ownerships {
		ownerships = append(ownerships, t)
	}
	k.mu.Unlock()
	for _, t := range ownerships {
		t.handOver()
	}
	for _, t := range ownerships {
		<-t.done
	}
}
