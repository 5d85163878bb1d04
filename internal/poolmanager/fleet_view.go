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

// fleetView is what the store tells of entries and owners. It is never changed,
// only replaced.
type fleetView struct {
	members map[string]memberEntry // entries that are alive
	home    map[string]int         // how many machines are each pool's own; nil: not kept yet
	secret  []byte                 // that entries share; nil: none yet
	owners  map[string]ownerEntry  // by service
	known   bool                   // the store was read
}

func newFleetView() fleetView {
	return fleetView{members: map[string]memberEntry{}, owners: map[string]ownerEntry{}}
}

func (v fleetView) clone() fleetView {
	next := v
	next.members, next.owners = maps.Clone(v.members), maps.Clone(v.owners)
	return next
}

// apply changes a view that nobody else sees yet. A value that is not
// understood is an error, and changes as little as can be.
func (v *fleetView) apply(e store.Event, now time.Time) error {
	if node, ok := poolstore.ParseMember(e.Key); ok {
		return v.applyMember(node, e)
	}
	if e.Unreadable {
		return problem.New(problem.Invalid, problem.StepStoreRead, e.Key, "not an item of the store")
	}
	if e.Key == poolstore.SecretKey && !e.Deleted {
		v.secret = e.Value
	}
	if service, ok := poolstore.ParseOwner(e.Key); ok {
		if e.Deleted {
			v.owners[service] = ownerEntry{since: now}
		} else {
			v.owners[service] = ownerEntry{entry: string(e.Value), token: e.Revision, since: now}
		}
	}
	if e.Key != poolstore.HomeKey || e.Deleted {
		return nil
	}
	home, err := poolstore.DecodeHome(e.Key, e.Value)
	if err != nil {
		return err
	}
	v.home = home
	return nil
}

// applyMember takes in an entry's registration. One that is not understood is
// left to take pools by itself.
func (v *fleetView) applyMember(node string, e store.Event) error {
	if e.Deleted {
		delete(v.members, node)
		return nil
	}
	address, weight, err := poolstore.DecodeMember(e.Key, e.Value)
	v.members[node] = memberEntry{address: address, weight: weight, invalid: err != nil}
	return err
}

// alive returns the entries that are alive and can be given pools, by name.
func (v *fleetView) alive() []ownership.Member {
	members := make([]ownership.Member, 0, len(v.members))
	for name, m := range v.members {
		if !m.invalid {
			members = append(members, ownership.Member{Name: name, Weight: m.weight})
		}
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Name < members[b].Name })
	return members
}
