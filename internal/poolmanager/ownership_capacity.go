package poolmanager

import (
	"context"
	"strconv"
	"time"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
	"persimmonbay/internal/telemetry"
)

// capacityInterval is how often the pool's load is compared with its machines. It is
// well below the duration of a move.
const capacityInterval = 60 * time.Millisecond

// unknownRevision stands for the revision of an offer whose write has an unknown
// outcome. Withdrawing the offer shows what is stored.
const unknownRevision = -1

// unknownNeed stands for a stored need that is not known, as after a write with an
// unknown outcome.
const unknownNeed = -1

// offerRetryDelay is how long to wait after an offer that was refused because the
// claimed offer of a machine's last move is still stored, as it is for a few seconds.
const offerRetryDelay = 500 * time.Millisecond

// capacityLoop reports what the pool needs and can spare to the machine controller,
// until the ownership ends. offered holds the offers of an earlier owner.
func (o *poolOwnership) capacityLoop(offered map[string]int64) {
	r := newCapacityReporter(o, offered)
	for o.ctx.Err() == nil {
		sleep(o.ctx, o.Clock, capacityInterval)
		if !o.isValid() || o.isLeaving() {
			continue
		}
		ctx, cancel := context.WithTimeout(o.ctx, o.timing.StoreTimeout)
		if err := r.step(ctx); err != nil && o.ctx.Err() == nil {
			o.log.Info("need or offers of the pool not reported to the machine controller, trying again", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// applyOffers returns the machines of the pool that an earlier owner has offered, with
// the revisions of the offers, and marks them as offered in the pool: they may be
// claimed at any time. Those that are claimed already are kept in claimedOffers: the claim
// is the machine controller's, and only it may delete it.
func (o *poolOwnership) applyOffers(items []store.Item) map[string]int64 {
	offered := make(map[string]int64)
	claimed := make(map[string]bool)
	var machines []string
	for _, item := range items {
		machine, _ := poolstore.ParseOffer(item.Key)
		offer, err := poolstore.DecodeOffer(item.Key, item.Value)
		if err != nil {
			o.invalid.logOnce(o.log, "offer of a machine not understood, skipped", &item, err)
			continue // its pool is not known
		}
		switch {
		case offer.Pool != o.service:
			continue
		case offer.Target != "":
			claimed[machine] = true
		default:
			offered[machine] = item.Revision
		}
		machines = append(machines, machine)
	}
	o.pool.SetOffered(machines)
	for machine := range claimed {
		o.pool.OfferTaken(machine)
	}
	o.claimedOffers = claimed
	return offered
}

// offer writes offers of machines that the pool can spare, up to maxOffersPerTxn.
func (r *capacityReporter) offer(ctx context.Context, machines []string) error {
	value, err := poolstore.EncodeOffer(lending.Offer{Pool: r.service})
	if err != nil {
		return err
	}
	var txn store.Txn
	var batch []string
	for _, m := range machines {
		if len(batch) == maxOffersPerTxn {
			break // the rest with the next step
		}
		key := poolstore.OfferKey(m)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		batch = append(batch, m)
	}
	r.pool.SetOffered(batch)
	revision, err := r.commitAsOwner(ctx, txn, poolstore.NeedKey(r.service))
	if err != nil {
		r.offerFailed(batch, err)
		return err
	}
	for _, m := range batch {
		r.offered[m] = revision
	}
	return nil
}

// maxOffersPerTxn is how many machines one transaction offers: each takes a condition
// and a write, beside the conditions on the ownership and on the need.
const maxOffersPerTxn = (store.MaxTxnEntries - 2) / 2

// offerFailed records that the write of offers failed or has an unknown outcome.
func (r *capacityReporter) offerFailed(machines []string, err error) {
	if problem.Is(err, problem.Conflict) {
		// The claimed offer of a machine's last move is still stored.
		r.offerAfter = r.Clock.Now().Add(offerRetryDelay)
	}
	for _, m := range machines {
		if store.OutcomeUnknown(err) {
			r.offered[m] = unknownRevision
		} else {
			r.pool.WithdrawOffer(m)
		}
	}
}

// withdraw withdraws an offer, unless it was claimed, and reports whether the offer is
// gone. The write of an offer with an unknown outcome may still be applied
// later; it is conditional on the need's revision, so writing the need again prevents
// that.
func (r *capacityReporter) withdraw(ctx context.Context, machine string) (bool, error) {
	if r.offered[machine] == unknownRevision {
		if err := r.writeNeed(ctx, max(r.reportedNeed, 0)); err != nil {
			return false, err
		}
		return r.checkOffer(ctx, machine)
	}
	key := poolstore.OfferKey(machine)
	txn := r.guardedTxn()
	txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: r.offered[machine]})
	txn.Deletes = []string{key}
	_, err := r.Store.Commit(ctx, txn)
	if err == nil {
		return r.reclaim(machine), nil
	}
	if !problem.Is(err, problem.Conflict) {
		return false, err
	}
	return r.checkOffer(ctx, machine)
}

// checkOffer reads the state of an offer that could not be withdrawn, and records it.
// It reports whether the offer is gone: the pool may then use the machine again, unless
// it was moved.
func (r *capacityReporter) checkOffer(ctx context.Context, machine string) (bool, error) {
	key := poolstore.OfferKey(machine)
	item, err := r.Store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		return r.reclaim(machine), nil // moved, or the offer was deleted
	}
	if err != nil {
		return false, err
	}
	offer, err := poolstore.DecodeOffer(key, item.Value)
	if err != nil {
		r.invalid.logOnce(r.log, "offer of a machine not understood, it may be claimed", &item, err)
		return false, nil // it may be claimed; the other offers are still checked
	}
	if offer.Target == "" {
		r.offered[machine] = item.Revision
		return false, nil
	}
	delete(r.offered, machine)
	r.claimed[machine] = true
	r.pool.OfferTaken(machine)
	return false, nil
}

// claimCheckInterval is how often claimed machines are checked: a move takes a few
// seconds.
const claimCheckInterval = time.Second

// checkClaimed checks which of the claimed machines have left the pool.
func (r *capacityReporter) checkClaimed(ctx context.Context) error {
	if len(r.claimed) == 0 || r.Clock.Now().Sub(r.claimsCheckedAt) < claimCheckInterval {
		return nil
	}
	r.claimsCheckedAt = r.Clock.Now()
	for m := range r.claimed {
		if _, err := r.checkOffer(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// reclaim lets the pool use a machine again whose offer is gone. It returns true.
func (r *capacityReporter) reclaim(machine string) bool {
	delete(r.offered, machine)
	delete(r.claimed, machine)
	r.pool.WithdrawOffer(machine)
	r.plan.send()
	return true
}

// writeNeed writes how many machines the pool needs, and of which kinds if these have
// changed. After an error, what is stored counts as unknown.
func (r *capacityReporter) writeNeed(ctx context.Context, need int) error {
	key := poolstore.NeedKey(r.service)
	keys, txn := []string{key}, store.Txn{Writes: []store.Write{{Key: key, Value: []byte(strconv.Itoa(need))}}}
	if r.kindsChanged() {
		value, err := poolstore.EncodeKinds(r.kinds)
		if err != nil {
			return err
		}
		keys = append(keys, poolstore.KindsKey(r.service))
		txn.Writes = append(txn.Writes, store.Write{Key: poolstore.KindsKey(r.service), Value: value})
	}
	r.reportedNeed, r.kindsStored = unknownNeed, false
	_, err := r.commitAsOwner(ctx, txn, keys...)
	if err == nil {
		r.reportedNeed, r.storedKinds, r.kindsStored = need, r.kinds, true
	}
	return err
}
