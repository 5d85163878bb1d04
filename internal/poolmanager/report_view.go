package poolmanager

import (
	"maps"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/scheduler"
	"persimmonbay/internal/store"
)

// reportView is what pools report to the machine controller. It is immutable once
// shared: an update replaces it.
type reportView struct {
	needs     map[string]int                  // machines that pools need, by service
	kinds     map[string][]scheduler.KindNeed // kinds of machines that pools need, by service
	offers    map[string]lending.Offer        // by machine
	revisions map[string]int64                // of the offers, by machine
	known     bool                            // the store has been read
}

func newReportView() reportView {
	return reportView{needs: map[string]int{}, kinds: map[string][]scheduler.KindNeed{}, offers: map[string]lending.Offer{}, revisions: map[string]int64{}}
}

func (v reportView) clone() reportView {
	return reportView{needs: maps.Clone(v.needs), kinds: maps.Clone(v.kinds), offers: maps.Clone(v.offers), revisions: maps.Clone(v.revisions), known: v.known}
}

// apply applies an event to a view that is not shared yet. A value that cannot be
// decoded is an error, and counts as none.
func (v *reportView) apply(e store.Event) error {
	if service, ok := poolstore.ParseNeed(e.Key); ok {
		delete(v.needs, service)
		if e.Deleted {
			return nil
		}
		n, err := poolstore.DecodeCount(e.Key, e.Value)
		if err == nil && n > 0 {
			v.needs[service] = n
		}
		return err
	}
	if service, ok := poolstore.ParseKinds(e.Key); ok {
		delete(v.kinds, service)
		if e.Deleted {
			return nil
		}
		kinds, err := poolstore.DecodeKinds(e.Key, e.Value)
		if len(kinds) > 0 {
			v.kinds[service] = kinds
		}
		return err
	}
	machine, ok := poolstore.ParseOffer(e.Key)
	if !ok {
		return nil
	}
	delete(v.offers, machine)
	delete(v.revisions, machine)
	if e.Deleted {
		return nil
	}
	offer, err := poolstore.DecodeOffer(e.Key, e.Value)
	if err == nil {
		v.offers[machine], v.revisions[machine] = offer, e.Revision
	}
	return err
}

// deleteClaim adds the delete of a machine's claimed offer to txn, on condition that it is
// the one in the view: a copy that is applied late deletes no later offer.
func (v *reportView) deleteClaim(txn *store.Txn, machine string) {
	key := poolstore.OfferKey(machine)
	txn.Expected = append(txn.Expected, store.Expectation{Key: key, Revision: v.revisions[machine]})
	txn.Deletes = append(txn.Deletes, key)
}
