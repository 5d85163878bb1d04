package configstore_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/configstore"
	"persimmonbay/internal/platform/api"
)

var _ = Describe("a stored configuration", func() {
	It("can be read if an earlier release stored it uncompressed", func() {
		source := document("amal")
		value, err := json.Marshal(map[string]any{"source": source})
		Expect(err).NotTo(HaveOccurred())
		v, err := configstore.Decode(api.KeyValue{Value: value, Version: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Source).To(Equal(source))
	})
})
