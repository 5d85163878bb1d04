package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
)

var _ = Describe("a stand-in upstream that was ordered to reboot", func() {
	It("aborts requests for the time of the order and no longer, however late its timers are", func() {
		clock := lateTimers{clockwork.NewFakeClock()}
		server := NewServer(fleet.Instance{ID: "tags-1"}, 1, clock)
		handler := server.Handler()
		request := func(method, path, body string) func() int {
			return func() int {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
				return w.Code
			}
		}
		Expect(request(http.MethodPost, "/standin/reboot", `{"downMillis":1000}`)()).To(Equal(http.StatusOK))
		get := request(http.MethodGet, "/1", "")
		clock.Advance(time.Second - time.Millisecond)
		Expect(func() { get() }).To(PanicWith(http.ErrAbortHandler))
		clock.Advance(time.Millisecond)
		Expect(get()).To(Equal(http.StatusOK))
		Expect(server.Load().Aborted).To(Equal(1))
	})
})
