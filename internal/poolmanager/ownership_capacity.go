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
// record of a machine's last move still exists, as it does for a few seconds.
const offerRetryDelay = 500 * time.Millisecond

// capacityLoop reports what the pool needs and can spare to the machine controller,
// until the ownership ends. offered holds the offers of an earlier owner.
func (t *poolOwnership) capacityLoop(offered map[string]int64) {
	b := &capacityReporter{poolOwnership: t, offered: offered, claimed: map[string]bool{}, reportedNeed: unknownNeed}
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, capacityInterval)
		if !t.isValid() || t.isLeaving() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		if err := b.step(ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("need or offers of the pool not reported to the machine controller, trying again", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// loadOffers returns the machines of the pool that an earlier owner has offered, with
// the revisions of the offers, and marks them as offered in the pool: they may be
// claimed at any time.
func (t *poolOwnership) loadOffers(ctx context.Context) (map[string]int64, error) {
	items, _, err := t.Store.Range(ctx, poolstore.OfferPrefix)
	if err != nil {
		return nil, err
	}
	offered := make(map[string]int64)
	var machines []string
	for _, item := range items {
		machine, _ := poolstore.ParseOffer(item.Key)
		offer, err := poolstore.DecodeOffer(item.Key, item.Value)
		if err != nil {
			t.invalid.logOnce(t.log, "offer of a machine not understood, skipped", &item, err)
			continue // its pool is not known
		}
		if offer.Pool == t.service {
			offered[machine] = item.Revision
			machines = append(machines, machine)
		}
	}
	t.pool.SetOffered(machines)
	return offered, nil
}

// offer writes offers of machines that the pool can spare, up to maxOffersPerTxn.
func (b *capacityReporter) offer(ctx context.Context, machines []string) error {
	value, err := poolstore.EncodeOffer(lending.Offer{Pool: b.service})
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
	b.pool.SetOffered(batch)
	revision, err := b.commitAsOwner(ctx, txn, poolstore.NeedKey(b.service))
	if err != nil {
		b.offerFailed(batch, err)
		return err
	}
	for _, m := range batch {
		b.offered[m] = revision
	}
	return nil
}

// maxOffersPerTxn is how many machines one transaction offers: each takes a condition
// and a write, beside the conditions on the ownership and on the need.
const maxOffersPerTxn = (store.MaxTxnEntries - 2) / 2

// offerFailed records that the write of offers failed or has an unknown outcome.
func (b *capacityReporter) offerFailed(machines []string, err error) {
	if problem.Is(err, problem.Conflict) {
		// The record of a machine's last move still exists.
		b.offerAfter = b.Clock.Now().Add(offerRetryDelay)
	}
	for _, m := range machines {
		if store.OutcomeUnknown(err) {
			b.offered[m] = unknownRevision
		} else {
			b.pool.WithdrawOffer(m)
		}
	}
}

// withdraw withdraws an offer, unless it was claimed, and reports whether the machine
// stays in the pool. The write of an offer with an unknown outcome may still be applied
// later; it is conditional on the need's revision, so writing the need again prevents
// that.
func (b *capacityReporter) withdraw(ctx context.Context, machine string) (bool, error) {
	if b.offered[machine] == unknownRevision {
		if err := b.writeNeed(ctx, max(b.reportedNeed, 0)); err != nil {
			return false, err
		}
		return b.checkOffer(ctx, machine)
	}
	key := poolstore.OfferKey(machine)
	txn := b.guardedTxn()
	txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: b.offered[machine]})
	txn.Deletes = []string{key}
	_, err := b.Store.Commit(ctx, txn)
	if err == nil {
		return b.reclaim(machine), nil
	}
	if !problem.Is(err, problem.Conflict) {
		return false, err
	}
	return b.checkOffer(ctx, machine)
}

// checkOffer reads the state of an offer that could not be withdrawn, and records it.
// It reports whether the offer is gone, so that the pool can use the machine.
func (b *capacityReporter) checkOffer(ctx context.Context, machine string) (bool, error) {
	key := poolstore.OfferKey(machine)
	item, err := b.Store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		return b.reclaim(machine), nil // moved, or the offer was deleted
	}
	if err != nil {
		return false, err
	}
	offer, err := poolstore.DecodeOffer(key, item.Value)
	if err != nil {
		b.invalid.logOnce(b.log, "offer of a machine not understood, it may be claimed", &item, err)
		return false, nil // it may be claimed; the other offers are still checked
	}
	if offer.Target == "" {
		b.offered[machine] = item.Revision
		return false, nil
	}
	delete(b.offered, machine)
	b.claimed[machine] = true
	return false, nil
}

// claimCheckInterval is how often claimed machines are checked: a move takes a few
// seconds.
const claimCheckInterval = time.Second

// checkClaimed checks which of the claimed machines have left the pool.
func (b *capacityReporter) checkClaimed(ctx context.Context) error {
	if len(b.claimed) == 0 || b.Clock.Now().Sub(b.claimsCheckedAt) < claimCheckInterval {
		return nil
	}
	b.claimsCheckedAt = b.Clock.Now()
	for m := range b.claimed {
		if _, err := b.checkOffer(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// reclaim returns a machine to the pool's own use.
func (b *capacityReporter) reclaim(machine string) bool {
	delete(b.offered, machine)
	delete(b.claimed, machine)
	b.pool.WithdrawOffer(machine)
	b.plan.send()
	return true
}

// writeNeed writes how many machines the pool needs. After an error, the stored need
// counts as unknown.
func (b *capacityReporter) writeNeed(ctx context.Context, need int) error {
	key := poolstore.NeedKey(b.service)
	b.reportedNeed = unknownNeed
	_, err := b.commitAsOwner(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: []byte(strconv.Itoa(need))}}}, key)
	if err == nil {
		b.reportedNeed = need
	}
	return err
}
