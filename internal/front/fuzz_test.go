package front

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/request"
)

// FuzzParse checks that any header and path is either parsed to a request within
// the bounds or refused as an error of the caller.
func FuzzParse(f *testing.F) {
	now := time.UnixMilli(0x019ae4a00000)
	f.Add("/tags/8812?full=1", "herders", "urgent", "250", "019ae4a0-0000-7000-8000-000000000001", "body")
	f.Add("/tags//%2e%2e/x", "", "", "", "", "")
	f.Add("/tags", "herders", "URGENT", "-1", "019ae4a0-0000-4000-8000-000000000001", "")
	f.Add("/tags/%00", "a\x00b", "normal", "3600001", "{019ae4a0-0000-7000-8000-000000000001}", "x")
	f.Add("/tags/1", "herders", "background", "9999999999999999999", "urn:uuid:019ae4a0-0000-7000-8000-000000000001", "x")
	f.Add("/tags/1", "herders", "", "1", "ffffffff-ffff-7fff-bfff-ffffffffffff", "x")
	f.Fuzz(func(t *testing.T, path, team, class, timeout, key, body string) {
		g := NewWithT(t)
		u, err := url.ParseRequestURI(path)
		if err != nil {
			return
		}
		r := &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
		for name, value := range map[string]string{headerTeam: team, headerClass: class, headerTimeout: timeout, headerKey: key} {
			if value != "" {
				r.Header.Set(name, value)
			}
		}
		in, err := parse(r, "tags", now, maxTestBody)
		if err != nil {
			g.Expect(problem.KindOf(err)).To(BeElementOf(problem.Invalid, problem.TooLarge))
			return
		}
		g.Expect(in.Path).To(HavePrefix("/"))
		g.Expect(len(in.Body)).To(BeNumerically("<=", maxTestBody))
		if timeout == "" {
			g.Expect(in.Deadline).To(BeZero())
		} else {
			g.Expect(in.Deadline).To(BeTemporally(">", now))
			g.Expect(in.Deadline).To(BeTemporally("<=", now.Add(maxTimeout)))
		}
		if key == "" {
			g.Expect(in.Key).To(BeEmpty())
		} else {
			again, err := request.ParseKey(string(in.Key), now)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(in.Key), "a key has one canonical form")
		}
		for _, field := range in.Fields {
			g.Expect(entryFields[field.Name]).To(BeFalse())
		}
	})
}
