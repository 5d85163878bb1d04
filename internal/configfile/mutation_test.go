package configfile_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"persimmonbay/internal/configfile"
	"persimmonbay/internal/problem"
)

var _ = Describe("a document damaged at random", func() {
	It("is read, or refused with findings that have a line", func() {
		answers, configured := read("registry/answers.yaml"), read("registry/configuration.yaml")
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			_, err := configfile.ParseQuestionnaire("answers.yaml", damage(t, answers))
			checkRefusal(t, err)
			_, err = configfile.ParseConfiguration("fleet.yaml", damage(t, configured))
			checkRefusal(t, err)
		})
	})
})

// damage replaces up to four random pieces of document by random text.
func damage(t *rapid.T, document string) []byte {
	for range rapid.IntRange(1, 4).Draw(t, "damages") {
		from := rapid.IntRange(0, len(document)).Draw(t, "from")
		to := min(len(document), from+rapid.IntRange(0, 40).Draw(t, "length"))
		piece := rapid.StringOfN(rapid.RuneFrom([]rune(":-{}[]&*!|>'\"\n\t #?a0\x00é")), 0, 5, -1).Draw(t, "piece")
		document = document[:from] + piece + document[to:]
	}
	return []byte(document)
}

// checkRefusal fails t if err is neither nil nor a list of findings that begins
// with one that has a line.
func checkRefusal(t *rapid.T, err error) {
	var findings problem.Findings
	if err == nil {
		return
	}
	if !errors.As(err, &findings) || len(findings) == 0 || findings[0].Line < 1 {
		t.Fatalf("error is not a list of findings with lines: %v", err)
	}
}
