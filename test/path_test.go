package test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/standin/upstream"
)

// registryAnswers is the example questionnaire of one of the users.
const registryAnswers = "../examples/registry/answers.yaml"

var _ = Describe("a fleet", func() {
	It("serves a request through any of three entries with the configuration in force", func() {
		f := startFleet("tags", 2, 3)
		f.configure(registryAnswers)

		for i := range f.entries {
			Eventually(func() string { return get(f.callers(i) + "/tags/8812?full=1").outcome }, patience).Should(Equal("completed"))
			answer := get(f.callers(i) + "/tags/8812?full=1")
			Expect(answer.status).To(Equal(http.StatusOK))
			var reply upstream.Reply
			Expect(json.Unmarshal(answer.body, &reply)).To(Succeed())
			Expect(reply.Path).To(Equal("/8812"))
			Expect(reply.RequestID).To(Equal(answer.requestID))
		}
	})

	It("lists on each entry all entries as alive, with their configuration version", func() {
		f := startFleet("tags", 1, 3)
		f.configure(registryAnswers)
		for i := range f.entries {
			Eventually(func(g Gomega) {
				status := fleetStatus(f.operator(i))
				g.Expect(status.Entries).To(HaveLen(3))
				for _, e := range status.Entries {
					g.Expect(e.Alive).To(BeTrue())
					g.Expect(e.ConfigurationVersion).To(Equal(status.ConfigurationVersion))
					g.Expect(e.ConfigurationVersion).NotTo(BeZero())
				}
			}, patience).Should(Succeed())
		}
	})

	It("refuses invalid settings with the file, the line and the expected value", func() {
		code, _, stderr := command("entry", "-config", "testdata/unknown_key.yaml")
		Expect(code).To(Equal(2))
		Expect(stderr).To(ContainSubstring("testdata/unknown_key.yaml:3:"))
		code, _, stderr = command("entry", "-config", "testdata/no_platform.yaml")
		Expect(code).To(Equal(2))
		Expect(stderr).To(ContainSubstring("platform.address: expected a value"))
		code, _, stderr = command("entry", "-config", "testdata/bad_duration.yaml")
		Expect(code).To(Equal(2))
		Expect(stderr).To(ContainSubstring("testdata/bad_duration.yaml:5:"))
	})

	It("refuses a change without the operator token", func() {
		f := startFleet("tags", 0, 1)
		request, err := http.NewRequest(http.MethodPut, "http://"+f.operator(0)+"/v1/configuration", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		Eventually(func() string { return f.entries[0].logged("change refused", "step") }, patience).Should(Equal("authorize"))
	})
})

// get sends a GET request of the team "herders". A failed call returns an empty
// answer.
func get(url string) answer {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Persimmonbay-Team", "herders")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status:    response.StatusCode,
		outcome:   response.Header.Get("Persimmonbay-Outcome"),
		requestID: response.Header.Get("Persimmonbay-Request-Id"),
		body:      body,
	}
}
