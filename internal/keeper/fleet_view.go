package keeper

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"persimmonbay/internal/ownership"
	"persimmonbay/internal/store"
	"persimmonbay/internal/workstore"
)

// fleetView is what the store tells of entries, owners and machines that are
// to be emptied. It is never changed, only replaced.
type fleetView struct {
	members map[string]memberEntry // entries that are alive
	home    map[string]int         // how many machines are each pool's own; nil: not kept yet
	recalls map[string]int         // machines that pools have to give up
	secret  []byte                 // that entries share; nil: none yet
	owners  map[string]ownerEntry  // by service
	empty   map[string]emptyEntry  // by machine
	known   bool                   // the store was read
}

func newFleetView() fleetView {
	return fleetView{members: map[string]memberEntry{}, owners: map[string]ownerEntry{}, empty: map[string]emptyEntry{}, recalls: map[string]int{}}
}

// with returns the view after an event.
func (v fleetView) with(e store.Event, now time.Time) fleetView {
	next := fleetView{members: maps.Clone(v.members), owners: maps.Clone(v.owners), empty: maps.Clone(v.empty), known: v.known, secret: v.secret, home: v.home, recalls: maps.Clone(v.recalls)}
	next.apply(e, now)
	return next
}

// apply changes a view that nobody else sees yet.
func (v *fleetView) apply(e store.Event, now time.Time) {
	if node, ok := workstore.ParseMember(e.Key); ok {
		v.applyMember(node, e)
	}
	if e.Key == workstore.SecretKey && !e.Deleted {
		v.secret = e.Value
	}
	if service, ok := workstore.ParseOwner(e.Key); ok {
		if e.Deleted {
			v.owners[service] = ownerEntry{since: now}
		} else {
			v.owners[service] = ownerEntry{node: string(e.Value), token: e.Revision, since: now}
		}
	}
	if service, ok := workstore.ParseRecall(e.Key); ok {
		n, err := strconv.Atoi(string(e.Value))
		if e.Deleted || err != nil {
			n = 0
		}
		v.recalls[service] = n
	}
	if home, err := workstore.DecodeHome(e.Key, e.Value); e.Key == workstore.HomeKey && err == nil {
		v.home = home
	}
	if machine, ok := workstore.ParseEmpty(e.Key); ok {
		v.applyEmpty(machine, e)
	}
}

func (v *fleetView) applyMember(node string, e store.Event) {
	if e.Deleted {
		delete(v.members, node)
		return
	}
	address, weight, err := workstore.DecodeMember(e.Key, e.Value)
	if err != nil {
		address, weight = "", 0 // it is alive, and gets no notices
	}
	v.members[node] = memberEntry{address: address, weight: weight}
}

func (v *fleetView) applyEmpty(machine string, e store.Event) {
	if e.Deleted {
		delete(v.empty, machine)
		return
	}
	by, emptied, err := workstore.DecodeEmpty(e.Key, e.Value)
	if err != nil {
		return // a later version's entry: its holder sees that nobody empties the machine
	}
	v.empty[machine] = emptyEntry{revision: e.Revision, by: by, emptied: emptied}
}

// asked returns the machines that are to be emptied, or are, and by when.
func (v *fleetView) asked() map[string]time.Time {
	machines := make(map[string]time.Time, len(v.empty))
	for m, entry := range v.empty {
		machines[m] = entry.by
	}
	return machines
}

// emptied returns the machines that their pools have said to be empty.
func (v *fleetView) emptied() map[string]bool {
	machines := make(map[string]bool)
	for m, entry := range v.empty {
		if entry.emptied {
			machines[m] = true
		}
	}
	return machines
}

// alive returns the entries that are alive, by name.
func (v *fleetView) alive() []ownership.Member {
	members := make([]ownership.Member, 0, len(v.members))
	for name, m := range v.members {
		members = append(members, ownership.Member{Name: name, Weight: m.weight})
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Name < members[b].Name })
	return members
}
