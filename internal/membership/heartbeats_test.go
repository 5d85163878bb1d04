package membership_test

import (
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/routing"
)

var _ = Describe("the stored heartbeats", func() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	marks := []routing.LeavingMark{{Instance: "tags-1", ReceivedAt: now}, {Instance: "tags-2", ReceivedAt: now}}
	whole := membership.Heartbeat{Entry: "b", Incarnation: 1, ConfigurationVersion: 7, Confirmed: now, LeavingUpstreams: marks}

	It("return the heartbeat of a known state with the newer ages", func() {
		h := membership.NewHeartbeats()
		h.Put(whole.State(), whole)
		later, ok := h.Find("b", whole.State(), now.Add(time.Second), now.Add(2*time.Second))
		Expect(ok).To(BeTrue())
		Expect(later.Confirmed).To(Equal(now.Add(time.Second)))
		Expect(later.Instances.ReadAt).To(Equal(now.Add(2 * time.Second)))
		Expect(later.LeavingUpstreams).To(Equal(marks))
		Expect(later.State()).To(Equal(whole.State()))
	})

	It("return nothing for another state, another entry or a removed one", func() {
		h := membership.NewHeartbeats()
		h.Put(whole.State(), whole)
		h.Acknowledge("b", 5)
		_, ok := h.Find("b", whole.State()+1, now, now)
		Expect(ok).To(BeFalse())
		_, ok = h.Find("c", whole.State(), now, now)
		Expect(ok).To(BeFalse())
		Expect(h.Acknowledged("b", 5)).To(BeTrue())
		Expect(h.Acknowledged("b", 6)).To(BeFalse())
		h.Retain(func(membership.EntryID) bool { return false })
		_, ok = h.Find("b", whole.State(), now, now)
		Expect(ok).To(BeFalse())
		Expect(h.Acknowledged("b", 5)).To(BeFalse())
	})

	It("have states that differ with every field but ages and UnknownSender", func() {
		changes := map[string]func(*membership.Heartbeat){
			"Entry":                func(h *membership.Heartbeat) { h.Entry = "c" },
			"ConfigurationVersion": func(h *membership.Heartbeat) { h.ConfigurationVersion++ },
			"Leaving":              func(h *membership.Heartbeat) { h.Leaving = true },
			"StoreReachable":       func(h *membership.Heartbeat) { h.StoreReachable = true },
			"Confirmed":            func(h *membership.Heartbeat) { h.Confirmed = time.Time{} },
			"Registration":         func(h *membership.Heartbeat) { h.Registration = &membership.Registration{} },
			"UnknownSender":        nil,
			"StartedAt":            nil,
			"SentAt":               nil,
			"Incarnation":          func(h *membership.Heartbeat) { h.Incarnation++ },
			"Instances":            func(h *membership.Heartbeat) { h.Instances.Generation++ },
			"LeavingUpstreams":     func(h *membership.Heartbeat) { h.LeavingUpstreams = h.LeavingUpstreams[:1] },
			"MaintenanceRevision":  func(h *membership.Heartbeat) { h.MaintenanceRevision++ },
		}
		for _, field := range reflect.VisibleFields(reflect.TypeFor[membership.Heartbeat]()) {
			change, listed := changes[field.Name]
			Expect(listed).To(BeTrue(), field.Name)
			if change != nil {
				changed := whole
				change(&changed)
				Expect(changed.State()).NotTo(Equal(whole.State()), field.Name)
			}
		}
		reversed := whole
		reversed.LeavingUpstreams = []routing.LeavingMark{marks[1], marks[0]}
		Expect(reversed.State()).To(Equal(whole.State()))
	})
})
