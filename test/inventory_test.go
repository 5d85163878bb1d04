package test

import (
	"bytes"
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/platform"
)

var _ = Describe("the list of instances", func() {
	It("is read by one entry at a time and reaches all", func() {
		f := startFleet("tags", 1, 3)
		for i := range f.entries {
			Eventually(func() int { return fleetStatus(f.operator(i)).Instances }, patience).Should(Equal(1))
			Eventually(func() []string { return aliveEntries(f.operator(i)) }, patience).Should(HaveLen(3))
		}
		// If all entries read the list, their counts stay close together; the
		// count of a single reader exceeds the others'.
		Eventually(func() uint64 {
			least, most := readsOf(f.operator(0)), uint64(0)
			for i := range f.entries {
				least, most = min(least, readsOf(f.operator(i))), max(most, readsOf(f.operator(i)))
			}
			return most - least
		}, patience).Should(BeNumerically(">=", 30))
	})

	It("stays current when the entry that reads it is killed", func() {
		f := startFleet("tags", 1, 3)
		for i := range f.entries {
			Eventually(func() int { return fleetStatus(f.operator(i)).Instances }, patience).Should(Equal(1))
		}
		f.entries[0].kill()
		f.entries[1].kill()
		putInstance(f.platformURL(), fleet.Instance{ID: "tags-9", Kind: fleet.KindUpstream, Service: "tags", Address: "127.0.0.1:1", State: fleet.Live})
		Eventually(func() int { return fleetStatus(f.operator(2)).Instances }, patience).Should(Equal(2))
	})
})

func aliveEntries(operator string) []string {
	var alive []string
	for _, e := range fleetStatus(operator).Entries {
		if e.Alive {
			alive = append(alive, e.ID)
		}
	}
	return alive
}

// readsOf returns how often the entry has read the list of instances from the
// platform.
func readsOf(operator string) uint64 {
	GinkgoHelper()
	response, err := http.Get("http://" + operator + "/debug/vars")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var vars debugVars
	Expect(json.NewDecoder(response.Body).Decode(&vars)).To(Succeed())
	for _, c := range vars.Entry.PlatformCalls {
		if c.Purpose == platform.PurposeInstances {
			return c.Calls
		}
	}
	return 0
}

// putInstance adds an instance to the stand-in platform's list, or replaces it.
func putInstance(platformURL string, instance fleet.Instance) {
	GinkgoHelper()
	body, err := json.Marshal(instance)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, platformURL+"/standin/instances/"+instance.ID, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}
