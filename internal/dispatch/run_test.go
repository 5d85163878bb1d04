package dispatch_test

import (
	"time"

	"persimmonbay/internal/admission"
	"persimmonbay/internal/dispatch"
	"persimmonbay/internal/fleet"
)

// testRun is one request of a testNode. It is its own admission.Receiver.
type testRun struct {
	node     *testNode
	ticket   admission.Ticket
	work     time.Duration // time that it takes on the upstream
	upstream string
	charge   time.Duration
	ends     time.Time // when the upstream has answered it
	shed     bool
}

// Placed implements admission.Receiver.
func (r *testRun) Placed(instance fleet.Instance, charge time.Duration) {
	r.begin(dispatch.Start{Instance: instance, Charge: charge})
}

// Shed implements admission.Receiver.
func (r *testRun) Shed() {
	r.shed = true
	r.node.fleet.shed++
}

func (r *testRun) begin(s dispatch.Start) {
	r.upstream, r.charge = s.Instance.ID, s.Charge
	r.ends = r.node.fleet.now.Add(r.work)
	r.node.running = append(r.node.running, r)
	r.node.fleet.begin(r)
}
