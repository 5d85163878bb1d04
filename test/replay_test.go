package test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/replay"
)

var _ = Describe("replay", func() {
	It("exits with 0 when a trace meets its expected outcomes and with 1 when it misses one", func() {
		dir := GinkgoT().TempDir()
		answers, err := filepath.Abs(registryAnswers)
		Expect(err).NotTo(HaveOccurred())
		recorded, err := os.ReadFile("../traces/team-flood.yaml")
		Expect(err).NotTo(HaveOccurred())
		relative, err := filepath.Rel(dir, answers)
		Expect(err).NotTo(HaveOccurred())
		copied := strings.Replace(string(recorded), "../examples/registry/answers.yaml", relative, 1)
		stated, err := os.ReadFile("../traces/team-flood.outcomes.yaml")
		Expect(err).NotTo(HaveOccurred())
		write := func(name, content string) {
			Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(Succeed())
		}
		write("flood.yaml", copied)
		write("flood.outcomes.yaml", string(stated))
		code, out, stderr := command("replay", "-output", "json", "-trace", filepath.Join(dir, "flood.yaml"))
		Expect(code).To(Equal(0), stderr)
		var reports []replay.Report
		Expect(json.Unmarshal([]byte(out), &reports)).To(Succeed())
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].MaxInFlight).To(Equal(8))

		write("flood.outcomes.yaml", strings.Replace(string(stated), "mostAtWork: 8", "mostAtWork: 7", 1))
		code, _, stderr = command("replay", "-trace", filepath.Join(dir, "flood.yaml"))
		Expect(code).To(Equal(1))
		Expect(stderr).To(ContainSubstring("8 at work on one upstream, stated 7"))
	})
})
