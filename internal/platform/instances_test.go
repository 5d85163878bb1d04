package platform_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
	standin "persimmonbay/internal/standin/platform"
)

var _ = DescribeTable("the client of the platform reads every change of the list of instances",
	func(faults standin.Faults, wantLists int) {
		server := standin.NewServer(clockwork.NewRealClock())
		server.SetFaults(faults)
		server.Instances.Put(fleet.Instance{ID: "a"})
		var lists atomic.Int64 // responses that had the whole list
		listening := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response := httptest.NewRecorder()
			server.Handler().ServeHTTP(response, r)
			if response.Code == http.StatusOK {
				lists.Add(1)
			}
			maps.Copy(w.Header(), response.Header())
			w.WriteHeader(response.Code)
			_, _ = w.Write(response.Body.Bytes())
		}))
		defer listening.Close()
		client := platform.NewClient(listening.URL, time.Minute).WithPurpose(platform.PurposeInstances)
		defer client.Close()
		var known fleet.Listing
		for _, state := range []fleet.InstanceState{fleet.Live, fleet.Live, fleet.Leaving, fleet.Leaving, fleet.Live} {
			server.Instances.SetState("a", state)
			var err error
			known, err = client.Instances(context.Background(), known)
			Expect(err).NotTo(HaveOccurred())
			Expect(known.Instances).To(Equal([]fleet.Instance{{ID: "a", State: state}}))
		}
		Expect(lists.Load()).To(BeEquivalentTo(wantLists))
	},
	Entry("and transfers it only after a change", standin.Faults{}, 3),
	Entry("and transfers it at every read if the platform has no entity tags", standin.Faults{NoTags: true}, 5),
)
