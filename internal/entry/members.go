package entry

import (
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/platform"
	"persimmonbay/internal/platform/api"
)

// watchMembers returns the watcher that updates the table of members from the
// store.
func (e *Entry) watchMembers() *platform.Watcher {
	return &platform.Watcher{
		Store:      e.platform.WithPurpose(platform.PurposeMembership),
		Prefix:     membersPrefix,
		Wait:       e.settings.Platform.WatchWait,
		Clock:      e.clock,
		Log:        e.log,
		OnListing:  e.membersListed,
		OnEvent:    e.memberChanged,
		OnResponse: e.recordStoreReachable,
	}
}

func (e *Entry) membersListed(listing api.Listing) {
	registered := make(map[membership.EntryID]bool, len(listing.Items))
	for _, kv := range listing.Items {
		registered[membership.EntryID(strings.TrimPrefix(kv.Key, membersPrefix))] = true
		e.register(kv.Value)
	}
	e.members.UnregisterExcept(registered)
	e.control.entriesChanged()
}

func (e *Entry) memberChanged(event api.Event) {
	if event.Type == api.EventDelete {
		e.control.entriesChanged()
		e.members.Unregister(membership.EntryID(strings.TrimPrefix(event.Key, membersPrefix)))
		return
	}
	e.register(event.Value)
}

func (e *Entry) register(value []byte) {
	var r membership.Registration
	if err := json.Unmarshal(value, &r); err != nil {
		e.log.Error("stored registration of an entry cannot be decoded; it is ignored", zap.Error(err))
		return
	}
	e.members.Register(r)
}

// recordStoreReachable records whether the store is reachable. While it is not,
// the store may hold a newer configuration than the one in force.
func (e *Entry) recordStoreReachable(reached bool) {
	e.health.Update(func(h health) (health, bool) {
		old := h
		h.storeReachable = reached
		h.currentByStore = h.currentByStore && reached
		return h, h != old
	})
}
