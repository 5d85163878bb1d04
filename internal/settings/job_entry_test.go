package settings_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/settings"
)

var _ = Describe("the identity of a job entry's settings", func() {
	DescribeTable("says how long a withdrawn key may serve", func(identity string, valid bool) {
		name := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		text := "id: e\navailabilityZone: az-1\nlisten: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', readiness: '127.0.0.1:3'}\nplatform: {store: '127.0.0.1:4', codec: cbor}\n"
		Expect(os.WriteFile(name, []byte(text+identity), 0o600)).To(Succeed())
		_, err := settings.LoadJobEntry(name)
		Expect(err == nil).To(Equal(valid), "%v", err)
	},
		Entry("not at all", "", true),
		Entry("for a while", "identity: {failClosed: true, revokeWithin: 5000ms}\n", true),
		Entry("for an unset time", "identity: {failClosed: true}\n", false),
	)
})
