package main

import (
	"bytes"
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// call runs a command line in this process and returns its exit code and output.
func call(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), commands(), args, console{out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// leaves returns the path of names of every command that is not a group.
func leaves(all []command, parent []string) [][]string {
	var found [][]string
	for _, c := range all {
		path := append(append([]string{}, parent...), c.name)
		if c.setup != nil {
			found = append(found, path)
			continue
		}
		found = append(found, leaves(c.children, path)...)
	}
	return found
}

var _ = Describe("the command line", func() {
	It("explains every command with -h and exit code 0", func() {
		for _, path := range leaves(commands(), nil) {
			code, out, _ := call(append(path, "-h")...)
			Expect(code).To(Equal(exitDone), "%v", path)
			Expect(out).To(ContainSubstring("usage: persimmonbay "+strings.Join(path, " ")), "%v", path)
		}
	})

	It("exits with 2 on wrong flags or arguments, and prints what is expected", func() {
		for _, path := range leaves(commands(), nil) {
			code, _, stderr := call(append(path, "-no-such-flag")...)
			Expect(code).To(Equal(exitUsage), "%v", path)
			Expect(stderr).To(ContainSubstring("no-such-flag"), "%v", path)
		}
		code, _, stderr := call("nonsense")
		Expect(code).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("-h"))
		code, _, stderr = call("status")
		Expect(code).To(Equal(exitUsage))
		Expect(stderr).To(ContainSubstring("-operator HOST:PORT"))
	})

	It("exits with 1 when the entry cannot be reached, and prints its address", func() {
		code, _, stderr := call("status", "-operator", "127.0.0.1:1")
		Expect(code).To(Equal(exitFailed))
		Expect(stderr).To(ContainSubstring("127.0.0.1:1"))
	})
})
