package entry

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/configuration"
	"persimmonbay/internal/inventory"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/settings"
)

const testKey = "entry-test-peer-key-0123"

var _ = ginkgo.Describe("an entry that starts while the store is down", func() {
	ctx := context.Background()

	ginkgo.It("puts the newest version of all live peers in force, and no older one before it", func() {
		release := make(chan struct{})
		newer := &fakePeer{id: "newer", version: 9, source: validDocument(), blocked: release}
		newer.serve(testKey)
		older := &fakePeer{id: "older", version: 5, source: validDocument(), knows: []*fakePeer{newer}}
		older.serve(testKey)
		e, logs := newTestEntry(older.address)
		Expect(e.Ready()).To(MatchError(ContainSubstring("peers.seeds")))
		go func() {
			defer ginkgo.GinkgoRecover()
			Eventually(func() int { return len(e.members.Members()) }).Should(Equal(2))
			close(release) // so that the peer with the newer version answers last
		}()
		e.heartbeatRound(ctx, skipNone)
		Expect(e.inForce.Get().Version).To(Equal(configuration.Version(9)))
		Expect(logs.FilterMessage("configuration in force").Len()).To(Equal(1))
		Expect(e.Ready()).To(MatchError(ContainSubstring("list of instances is not known")))
		e.inventory.Update(inventory.List{Stamp: inventory.Stamp{Generation: 1}})
		Expect(e.Ready()).To(Succeed())
	})

	ginkgo.It("fetches no version reported by a peer before the first round of heartbeats has put one in force", func() {
		older := &fakePeer{id: "older", version: 5, source: validDocument()}
		older.serve(testKey)
		e, _ := newTestEntry()
		registration := older.registration()
		fetching, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() { defer close(done); e.fetchNewerVersions(fetching) }()
		answer := e.heartbeatReceived(heartbeatOf(older, &registration))
		Expect(answer.UnknownSender).To(BeFalse())
		Consistently(func() configuration.Version { return e.inForce.Get().Version }, "100ms").Should(BeZero())
		e.putInForce(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		e.heartbeatReceived(heartbeatOf(older, &registration))
		e.newest.Update(func(v peerVersion) (peerVersion, bool) { return v, true }) // wakes the loop
		Eventually(func() configuration.Version { return e.inForce.Get().Version }).Should(Equal(configuration.Version(5)))
		stop()
		<-done
	})

	ginkgo.It("is not ready when a peer has a newer version that is invalid", func() {
		broken := &fakePeer{id: "broken", version: 9, source: []byte("colour: green\n")}
		broken.serve(testKey)
		e, _ := newTestEntry(broken.address)
		e.putInForce(configuration.Versioned{Version: 4, Configuration: &configuration.Configuration{}})
		e.heartbeatRound(ctx, skipNone)
		Expect(problem.Is(e.Ready(), problem.Unavailable)).To(BeTrue())
		Expect(e.inForce.Get().Version).To(Equal(configuration.Version(4)))
	})

	ginkgo.It("requests the registration of an unknown sender", func() {
		e, _ := newTestEntry()
		unknown := &fakePeer{id: "stranger"}
		answer := e.heartbeatReceived(heartbeatOf(unknown, nil))
		Expect(answer.UnknownSender).To(BeTrue())
		Expect(e.members.Members()).To(BeEmpty())
	})
})

// newTestEntry returns an entry whose platform does not answer, and its log.
func newTestEntry(seeds ...string) (*Entry, *observer.ObservedLogs) {
	s := settings.DefaultEntry()
	s.ID, s.AvailabilityZone, s.Platform.Address = "entry-1", "az-1", "http://127.0.0.1:1"
	s.Secrets = settings.Secrets{PeerKey: testKey, OperatorToken: "entry-test-operator-token"}
	s.Peers.Seeds = seeds
	core, logs := observer.New(zapcore.InfoLevel)
	e, err := New(s, clockwork.NewRealClock(), zap.New(core))
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() {
		e.listeners.close()
		e.peers.Close()
		e.platform.Close()
	})
	return e, logs
}

func validDocument() []byte {
	questionnaire := &configuration.Questionnaire{
		Organisation: "Registry",
		Teams:        []configuration.TeamAnswers{{Name: "herders", LateMeans: "harm", People: 10}},
		Services:     []configuration.ServiceAnswers{{Name: "tags", Runners: 8, MayBeAway: 1, AtOncePerRunner: 8, Connections: 64, AnswerWithin: 2e9}},
	}
	source, err := configfile.Render(configuration.Generate(questionnaire))
	Expect(err).NotTo(HaveOccurred())
	return source
}
