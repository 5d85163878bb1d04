package poolmanager

import (
	"maps"
	"sort"
	"time"

	"persimmonbay/internal/ownership"
	"persimmonbay/internal/poolstore"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/store"
)

// fleetView is the content of the store about entries and the owners of pools. It is
// immutable once shared: an update replaces it.
type fleetView struct {
	members     map[string]memberEntry // registered entries, by name
	ownMachines map[string]int         // how many machines belong to each pool; nil: not stored yet
	secret      []byte                 // shared by all entries; nil: none yet
	owners      map[string]poolOwner   // by service
	known       bool                   // the store has been read
}

func newFleetView() fleetView {
	return fleetView{members: map[string]memberEntry{}, owners: map[string]poolOwner{}}
}

func (v fleetView) clone() fleetView {
	next := v
	next.members, next.owners = maps.Clone(v.members), maps.Clone(v.owners)
	return next
}

// apply applies an event to a view that is not shared yet. It returns an error for a
// value that cannot be decoded, and leaves the rest of the view as it is.
func (v *fleetView) apply(e store.Event, now time.Time) error {
	if name, ok := poolstore.ParseMember(e.Key); ok {
		return v.applyMember(name, e)
	}
	if e.Unreadable {
		return problem.New(problem.Invalid, problem.StepStoreRead, e.Key, "the item cannot be read")
	}
	if e.Key == poolstore.SecretKey {
		v.secret = e.Value
		if e.Deleted {
			v.secret = nil
		}
	}
	if service, ok := poolstore.ParseOwner(e.Key); ok {
		if e.Deleted {
			v.owners[service] = poolOwner{since: now}
		} else {
			v.owners[service] = poolOwner{entry: string(e.Value), token: e.Revision, since: now}
		}
	}
	if e.Key != poolstore.OwnMachinesKey || e.Deleted {
		return nil
	}
	own, err := poolstore.DecodeOwnMachines(e.Key, e.Value)
	if err != nil {
		return err
	}
	v.ownMachines = own
	return nil
}

// applyMember applies a change of an entry's registration. An entry whose
// registration cannot be decoded is listed as invalid: no pool is assigned to it, but
// it may acquire pools without an owner by itself.
func (v *fleetView) applyMember(name string, e store.Event) error {
	if e.Deleted {
		delete(v.members, name)
		return nil
	}
	address, weight, err := poolstore.DecodeMember(e.Key, e.Value)
	v.members[name] = memberEntry{address: address, weight: weight, invalid: err != nil}
	return err
}

// assignable returns the registered entries to which pools can be assigned, sorted by
// name.
func (v *fleetView) assignable() []ownership.Member {
	members := make([]ownership.Member, 0, len(v.members))
	for name, m := range v.members {
		if !m.invalid {
			members = append(members, ownership.Member{Name: name, Weight: m.weight})
		}
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Name < members[b].Name })
	return members
}
