package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/routing"
)

// State returns a digest of all that a heartbeat tells but its ages and
// Stranger. A receiver that knows the heartbeat of a state needs only its ages
// to know it again.
func (h Heartbeat) State() uint64 {
	d := xxhash.New()
	text := func(s string) {
		number(d, uint64(len(s)))
		_, _ = d.WriteString(s) // never fails
	}
	text(string(h.Entry))
	number(d, uint64(h.ConfigurationVersion))
	flag(d, h.Leaving)
	flag(d, h.StoreReachable)
	flag(d, h.Confirmed.IsZero())
	flag(d, h.Registration != nil)
	if r := h.Registration; r != nil {
		for _, s := range []string{string(r.ID), r.PeerAddress, r.OperatorAddress, r.AvailabilityZone} {
			text(s)
		}
	}
	number(d, h.Incarnation)
	number(d, h.Instances.Generation)
	number(d, h.Instances.Digest)
	number(d, h.MaintenanceRevision)
	byInstance := func(a, b routing.LeavingMark) int { return strings.Compare(a.Instance, b.Instance) }
	for _, m := range slices.SortedFunc(slices.Values(h.LeavingUpstreams), byInstance) {
		text(m.Instance)
		number(d, uint64(m.ReceivedAt.UnixMilli()))
	}
	return max(d.Sum64(), 1) // 0 stands for none
}

// Aged returns h with the ages of a later heartbeat of the same state.
func (h Heartbeat) Aged(confirmed, listRead time.Time) Heartbeat {
	h.Confirmed, h.Instances.ReadAt = confirmed, listRead
	return h
}

func number(d *xxhash.Digest, n uint64) {
	_, _ = d.WriteString(strconv.FormatUint(n, 10) + "/") // never fails
}

func flag(d *xxhash.Digest, set bool) {
	if set {
		number(d, 1)
		return
	}
	number(d, 0)
}
