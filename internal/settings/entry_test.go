package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/settings"
)

const good = `id: entry-1
availabilityZone: az-1
listen:
  peers: 10.0.0.1:7100
peers:
  seeds: [10.0.0.2:7100]
platform:
  address: http://10.0.0.9:9000
  timeout: 2s
secrets:
  peerKey: 0123456789abcdef
  operatorToken: fedcba9876543210
`

var _ = Describe("the settings of an entry", func() {
	It("have defaults for keys that the file leaves out", func() {
		s, err := settings.ParseEntry("entry.yaml", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Membership.LeaseTTL).To(Equal(settings.DefaultLeaseTTL))
		Expect(s.Listen.Peers).To(Equal("10.0.0.1:7100"))
		Expect(s.Peers.Seeds).To(Equal([]string{"10.0.0.2:7100"}))
	})

	DescribeTable("are refused with file, line and field when bad",
		func(old, replacement, expected string) {
			_, err := settings.ParseEntry("entry.yaml", []byte(strings.Replace(good, old, replacement, 1)))
			Expect(err).To(HaveOccurred())
			Expect(strings.Split(err.Error(), "\n")).To(ContainElement(HavePrefix("entry.yaml:" + expected)))
		},
		Entry("unknown key", "id: entry-1\n", "id: entry-1\ncolour: green\n", `2: colour: unknown field`),
		Entry("bad duration", "timeout: 2s", "timeout: soon", "9: platform.timeout: expected a duration"),
		Entry("missing address", "  address: http://10.0.0.9:9000\n", "", "8: platform.address: expected a value"),
		Entry("bad address", "http://10.0.0.9:9000", "10.0.0.9", "8: platform.address: expected http_url"),
		Entry("bad seed", "[10.0.0.2:7100]", "[nowhere]", "6: peers.seeds[0]: expected HOST:PORT"),
		Entry("short secret", "0123456789abcdef", "short", "11: secrets.peerKey: expected a value of at least 16"),
		Entry("list for a string", "id: entry-1", "id: [a]", "1: id: expected a string"),
	)
})
