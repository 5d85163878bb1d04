// Package proofs checks that every test named in docs/PROOFS.md exists.
package proofs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Paths of the source tree and of the page of proofs.
const (
	root = "../.."
	page = root + "/docs/PROOFS.md"
)

// testReference matches a reference to a test on the page: test: "TEXT" in
// backquotes.
var testReference = regexp.MustCompile("`test: \"([^\"`]+)\"`")

func TestProofs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proofs")
}

var _ = Describe("the page of proofs", func() {
	It("names only tests that exist", func() {
		content, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		texts := specTexts()
		for _, name := range namedTests(string(content)) {
			Expect(exists(name, texts)).To(BeTrue(), "docs/PROOFS.md names a test that does not exist: %s", name)
		}
	})

	It("matches a test by its full text, or by consecutive parts of it", func() {
		texts := []string{"a store", "keeps a key", "under load"}
		Expect(exists("a store keeps a key", texts)).To(BeTrue())
		Expect(exists("a store under load keeps a key", texts)).To(BeTrue())
		Expect(exists("keeps a key", texts)).To(BeTrue())
		Expect(exists("keeps", texts)).To(BeFalse())
		Expect(exists("a store loses a key", texts)).To(BeFalse())
	})

	It("names tests in table rows only, not in its example", func() {
		content := "Format: `test: \"TEXT\"`\n\n| a | `test: \"one\"`, `test: \"two\"` |\n"
		Expect(namedTests(content)).To(Equal([]string{"one", "two"}))
	})
})

// namedTests returns the tests named in the table rows of content.
func namedTests(content string) []string {
	var names []string
	for line := range strings.Lines(content) {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		for _, match := range testReference.FindAllStringSubmatch(line, -1) {
			names = append(names, match[1])
		}
	}
	return names
}

// exists reports whether name is one of texts, or several of them joined by
// spaces.
func exists(name string, texts []string) bool {
	for _, text := range texts {
		if name == text {
			return true
		}
		if rest, ok := strings.CutPrefix(name, text+" "); ok && exists(rest, texts) {
			return true
		}
	}
	return false
}

// specText matches the text of a container, spec or table entry.
var specText = regexp.MustCompile(`\b(?:Describe|DescribeTable|Context|When|It|Entry)\(\s*"((?:[^"\\]|\\.)+)"`)

// specTexts returns the texts of containers and specs in all test files of the
// tree, except this package's.
func specTexts() []string {
	var texts []string
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") || strings.Contains(name, "test/proofs/") {
			return err
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, match := range specText.FindAllStringSubmatch(string(content), -1) {
			texts = append(texts, match[1])
		}
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(texts).NotTo(BeEmpty())
	return texts
}
