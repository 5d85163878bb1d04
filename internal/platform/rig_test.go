package platform_test

import (
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/platform"
	standin "persimmonbay/internal/standin/platform"
	"persimmonbay/internal/standin/relay"
)

// rig is a client that reaches a stand-in platform through a relay.
type rig struct {
	client  *platform.Client
	relay   *relay.Relay
	standin *standin.Server
}

// newRig starts a rig whose client has the given timeout for calls.
func newRig(timeout time.Duration) *rig {
	GinkgoHelper()
	server := standin.NewServer(clockwork.NewRealClock())
	listening := httptest.NewServer(server.Handler())
	r, err := relay.Listen(strings.TrimPrefix(listening.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	client := platform.NewClient("http://"+r.Address(), timeout)
	DeferCleanup(func() {
		client.Close()
		r.Close()
		listening.CloseClientConnections()
		listening.Close()
	})
	return &rig{client: client.WithPurpose(platform.PurposeConfiguration), relay: r, standin: server}
}
