package membership

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/routing"
)

// State returns a digest of all fields of a heartbeat but its ages and
// UnknownSender; it is never 0. A receiver that has the heartbeat of a state needs
// only the ages to restore a later heartbeat of the same state.
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
	return max(d.Sum64(), 1) // 0 means that no state is known
}

// Aged returns h with the ages of a later heartbeat of the same state: confirmed is
// when the store confirmed the registration, listRead when the list of instances
// was read.
func (h Heartbeat) Aged(confirmed, listRead time.Time) Heartbeat {
	h.Confirmed, h.Instances.ReadAt = confirmed, listRead
	return h
}

// number adds n and a separator to the digest.
func number(d *xxhash.Digest, n uint64) {
	_, _ = d.WriteString(strconv.FormatUint(n, 10) + "/") // never fails
}

// flag adds 1 or 0 to the digest.
func flag(d *xxhash.Digest, set bool) {
	if set {
		number(d, 1)
		return
	}
	number(d, 0)
}
