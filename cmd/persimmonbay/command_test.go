package main

import (
	"bytes"
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// call runs a command line in this process.
func call(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), commands(), args, console{out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// leaves returns the words of every command that is no group.
func leaves(all []command, path []string) [][]string {
	var found [][]string
	for _, c := range all {
		words := append(append([]string{}, path...), c.name)
		if c.setup != nil {
			found = append(found, words)
			continue
		}
		found = append(found, leaves(c.children, words)...)
	}
	return found
}

var _ = Describe("the command line", func() {
	It("explains every command with -h and exit code 0", func() {
		for _, words := range leaves(commands(), nil) {
			code, out, _ := call(append(words, "-h")...)
			Expect(code).To(Equal(exitDone), "%v", words)
			Expect(out).To(ContainSubstring("usage: persimmonbay "+strings.Join(words, " ")), "%v", words)
		}
	})

	It("exits with 2 when called wrongly, and says what is expected", func() {
		for _, words := range leaves(commands(), nil) {
			code, _, stderr := call(append(words, "-no-such-flag")...)
			Expect(code).To(Equal(exitUsage), "%v", words)
			Expect(stderr).To(ContainSubstring("no-such-flag"), "%v", words)
		}
		code, _, stderr := call("nonsense")
		Expect(code).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("-h"))
		code, _, stderr = call("status")
		Expect(code).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("-operator HOST:PORT"))
	})

	It("exits with 1 when the entry cannot be reached, and names it", func() {
		code, _, stderr := call("status", "-operator", "127.0.0.1:1")
		Expect(code).To(Equal(exitFailed))
		Expect(stderr).To(ContainSubstring("127.0.0.1:1"))
	})
})
