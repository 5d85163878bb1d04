package keeper

import (
	"maps"

	"persimmonbay/internal/lending"
	"persimmonbay/internal/store"
	"persimmonbay/internal/workstore"
)

// dutyView is what pools tell the holder of the duty for machines. It is never
// changed, only replaced.
type dutyView struct {
	needs     map[string]int
	offers    map[string]lending.Offer // by machine
	revisions map[string]int64         // of the offers
	known     bool                     // the store was read
}

func newDutyView() dutyView {
	return dutyView{needs: map[string]int{}, offers: map[string]lending.Offer{}, revisions: map[string]int64{}}
}

func (v dutyView) clone() dutyView {
	return dutyView{needs: maps.Clone(v.needs), offers: maps.Clone(v.offers), revisions: maps.Clone(v.revisions), known: v.known}
}

// apply changes a view that nobody else sees yet.
func (v *dutyView) apply(e store.Event) error {
	if service, ok := workstore.ParseNeed(e.Key); ok {
		delete(v.needs, service)
		if e.Deleted {
			return nil
		}
		n, err := workstore.DecodeCount(e.Key, e.Value)
		if err == nil && n > 0 {
			v.needs[service] = n
		}
		return err
	}
	machine, ok := workstore.ParseOffer(e.Key)
	if !ok {
		return nil
	}
	delete(v.offers, machine)
	delete(v.revisions, machine)
	if e.Deleted {
		return nil
	}
	offer, err := workstore.DecodeOffer(e.Key, e.Value)
	if err == nil {
		v.offers[machine], v.revisions[machine] = offer, e.Revision
	}
	return err
}
