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

// capacityInterval is how often the pool's load is compared with its machines: well
// below the time of a move.
const capacityInterval = 60 * time.Millisecond

// unknownRevision stands for the revision of an offer whose write was not
// answered: taking it back shows what is kept.
const unknownRevision = -1

// unknownNeed stands for a need of which nobody knows whether it was told.
const unknownNeed = -1

// offerAgain is how long to wait after an offer that was refused: the record of
// a move goes within a few seconds.
const offerAgain = 500 * time.Millisecond

// capacityLoop tells the machine controller what the pool needs and
// can spare, until the ownership ends.
func (t *poolOwnership) capacityLoop(offered map[string]int64) {
	b := &capacityReporter{poolOwnership: t, offered: offered, taken: map[string]bool{}, reportedNeed: unknownNeed}
	for t.ctx.Err() == nil {
		sleep(t.ctx, t.Clock, capacityInterval)
		if !t.holds() || t.isLeaving() {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, t.timing.StoreTimeout)
		if err := b.step(ctx); err != nil && t.ctx.Err() == nil {
			t.log.Info("balance not told", telemetry.ProblemFields(err)...)
		}
		cancel()
	}
}

// loadOffers reads which of the pool's machines an earlier owner has offered:
// they may be taken at any time.
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
			t.invalid.logOnce(t.log, "offer not understood", &item, err)
			continue // it names no pool
		}
		if offer.Pool == t.service {
			offered[machine] = item.Revision
			machines = append(machines, machine)
		}
	}
	t.pool.SetOffered(machines)
	return offered, nil
}

// offer tells that the machines can be spared.
func (b *capacityReporter) offer(ctx context.Context, machines []string) error {
	value, err := poolstore.EncodeOffer(lending.Offer{Pool: b.service})
	if err != nil {
		return err
	}
	var txn store.Txn
	var told []string
	for _, m := range machines {
		if len(told) == offersAtOnce {
			break // the rest with the next step
		}
		key := poolstore.OfferKey(m)
		txn.Expected = append(txn.Expected, store.Expectation{Key: key})
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
		told = append(told, m)
	}
	b.pool.SetOffered(told)
	revision, err := b.commitOwn(ctx, txn, poolstore.NeedKey(b.service))
	if err != nil {
		b.notOffered(told, err)
		return err
	}
	for _, m := range told {
		b.offered[m] = revision
	}
	return nil
}

// offersAtOnce is how many machines one transaction offers: each takes a
// condition and a write, beside the conditions of the ownership and the need.
const offersAtOnce = (store.MaxTxnEntries - 2) / 2

// notOffered takes in that an offer was not made, or that nobody knows.
func (b *capacityReporter) notOffered(machines []string, err error) {
	if problem.Is(err, problem.Conflict) {
		// The record of a machine's last move is still there.
		b.offerAfter = b.Clock.Now().Add(offerAgain)
	}
	for _, m := range machines {
		if store.OutcomeUnknown(err) {
			b.offered[m] = unknownRevision
		} else {
			b.pool.WithdrawOffer(m)
		}
	}
}

// takeBack withdraws an offer, unless it was taken. One that was not answered
// may be made later: it expects the need as it was, so telling that anew makes
// an end of it.
func (b *capacityReporter) takeBack(ctx context.Context, machine string) (bool, error) {
	if b.offered[machine] == unknownRevision {
		if err := b.writeNeed(ctx, max(b.reportedNeed, 0)); err != nil {
			return false, err
		}
		return b.lookAfter(ctx, machine)
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
	return b.lookAfter(ctx, machine)
}

// lookAfter finds out what became of an offer that could not be taken back;
// true when the machine stays.
func (b *capacityReporter) lookAfter(ctx context.Context, machine string) (bool, error) {
	key := poolstore.OfferKey(machine)
	item, err := b.Store.Get(ctx, key)
	if problem.Is(err, problem.NotFound) {
		return b.reclaim(machine), nil // moved, or given back
	}
	if err != nil {
		return false, err
	}
	offer, err := poolstore.DecodeOffer(key, item.Value)
	if err != nil {
		b.invalid.logOnce(b.log, "offer not understood", &item, err)
		return false, nil // it may be taken; the others are looked after
	}
	if offer.Target == "" {
		b.offered[machine] = item.Revision
		return false, nil
	}
	delete(b.offered, machine)
	b.taken[machine] = true
	return false, nil
}

// takenEvery is how often machines that are to be moved are looked after: a move
// takes a few seconds.
const takenEvery = time.Second

// settleTaken finds out which of the machines that were taken have gone.
func (b *capacityReporter) settleTaken(ctx context.Context) error {
	if len(b.taken) == 0 || b.Clock.Now().Sub(b.takenAt) < takenEvery {
		return nil
	}
	b.takenAt = b.Clock.Now()
	for m := range b.taken {
		if _, err := b.lookAfter(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (b *capacityReporter) reclaim(machine string) bool {
	delete(b.offered, machine)
	delete(b.taken, machine)
	b.pool.WithdrawOffer(machine)
	b.plan.send()
	return true
}

func (b *capacityReporter) writeNeed(ctx context.Context, need int) error {
	key := poolstore.NeedKey(b.service)
	b.reportedNeed = unknownNeed
	_, err := b.commitOwn(ctx, store.Txn{Writes: []store.Write{{Key: key, Value: []byte(strconv.Itoa(need))}}}, key)
	if err == nil {
		b.reportedNeed = need
	}
	return err
}
