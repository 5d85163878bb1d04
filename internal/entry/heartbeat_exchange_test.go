package entry

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"persimmonbay/internal/membership"
	"persimmonbay/internal/peer"
	"persimmonbay/internal/peer/wire"
)

var _ = ginkgo.Describe("a heartbeat that holds only ages", func() {
	other := &fakePeer{id: "other", version: 3, address: "127.0.0.1:1"}
	registration := other.registration()
	heartbeat := heartbeatOf(other, &registration)

	ginkgo.It("counts as a whole one at a receiver that knows the state, and is answered in the same form", func() {
		e, _ := newTestEntry()
		first := e.handleHeartbeat(other.id, wire.FromHeartbeat(heartbeat, time.Now())).GetHeartbeat()
		Expect(first.IsComplete()).To(BeTrue())
		before, _ := e.members.Member(other.id)
		short := wire.FromKnownHeartbeat(heartbeat, time.Now())
		short.Seen = first.GetState()
		answer := e.handleHeartbeat(other.id, short).GetHeartbeat()
		Expect(answer.GetStateUnknown()).To(BeFalse())
		Expect(answer.IsComplete()).To(BeFalse())
		after, _ := e.members.Member(other.id)
		Expect(after.LastHeartbeat).To(BeTemporally(">", before.LastHeartbeat))
		Expect(after.ConfigurationVersion).To(BeEquivalentTo(3))
	})

	ginkgo.It("is ignored by a receiver that does not know the state, which requests the whole one", func() {
		e, _ := newTestEntry()
		e.handleHeartbeat(other.id, wire.FromHeartbeat(heartbeat, time.Now()))
		before, _ := e.members.Member(other.id)
		changed := heartbeat
		changed.ConfigurationVersion++
		answer := e.handleHeartbeat(other.id, wire.FromKnownHeartbeat(changed, time.Now())).GetHeartbeat()
		Expect(answer.GetStateUnknown()).To(BeTrue())
		after, _ := e.members.Member(other.id)
		Expect(after).To(Equal(before))
	})

	ginkgo.It("is followed by a whole one when the peer has restarted", func() {
		receiver, _ := newTestEntry()
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() {
			served <- peer.NewServer(receiver, []byte(testKey), zap.NewNop()).Serve(ctx, receiver.listeners.peers)
		}()
		ginkgo.DeferCleanup(func() { stop(); Expect(<-served).To(Succeed()) })
		at := membership.Member{ID: "entry-1", PeerAddress: receiver.Addresses().Peers}
		sender, _ := newTestEntry()
		sender.settings.ID, sender.peers = "entry-2", peer.NewClient("entry-2", []byte(testKey), peerTimeout)
		own := sender.ownHeartbeat()
		own.Registration = sender.ownRegistration()
		sender.beats.Acknowledge(at.ID, own.State()) // as if acknowledged by the peer's earlier incarnation
		answer, err := sender.sendHeartbeat(ctx, at, own)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.UnknownSender).To(BeFalse())
		_, known := receiver.members.Member(membership.EntryID("entry-2"))
		Expect(known).To(BeTrue())
	})
})
