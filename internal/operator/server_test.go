package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"persimmonbay/internal/operator"
	"persimmonbay/internal/problem"
	"persimmonbay/internal/telemetry"
)

const token = "operator-test-token"

var _ = Describe("a change over the operators' address", func() {
	var backend *fakeBackend
	var logs *observer.ObservedLogs
	var handler http.Handler

	BeforeEach(func() {
		var core zapcore.Core
		core, logs = observer.New(zapcore.WarnLevel)
		backend = &fakeBackend{}
		handler = operator.NewServer(backend, telemetry.NewMetrics(), token, zap.New(core)).Handler()
	})

	put := func(authorization, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPut, "/v1/configuration", strings.NewReader(body))
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}

	It("is refused and logged without the token, before its body is read", func() {
		for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "Basic " + token} {
			Expect(put(authorization, "{}").Code).To(Equal(http.StatusUnauthorized))
		}
		Expect(backend.applied).To(BeZero())
		Expect(logs.FilterMessage("change refused").Len()).To(Equal(4))
	})

	It("is made with the token", func() {
		Expect(put("Bearer "+token, `{"operator":"amal"}`).Code).To(Equal(http.StatusOK))
		Expect(backend.applied).To(Equal(1))
	})

	It("is refused when its body is larger than the limit", func() {
		w := put("Bearer "+token, `{"operator":"`+strings.Repeat("x", 3<<20)+`"}`)
		Expect(w.Code).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(backend.applied).To(BeZero())
	})

	It("returns the findings about a document to the client, with lines", func() {
		backend.err = problem.Findings{{File: "configuration", Line: 5, Path: "teams[0].name", Expected: "expected a value"}}
		listening := httptest.NewServer(handler)
		defer listening.Close()
		client := operator.NewClient(strings.TrimPrefix(listening.URL, "http://"), token)
		err := client.Send(GinkgoT().Context(), http.MethodPut, "/v1/configuration", struct{}{}, &struct{}{})
		Expect(err).To(Equal(backend.err))
		http.DefaultClient.CloseIdleConnections()
		client.Close()
	})

	DescribeTable("is answered with the HTTP status of the error's kind", func(kind problem.Kind, status int) {
		backend.err = problem.New(kind, problem.StepConfiguration, "bela", "made another change first")
		w := put("Bearer "+token, "{}")
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(ContainSubstring(`"peer":"bela"`))
	},
		Entry("conflict", problem.Conflict, http.StatusConflict),
		Entry("not accepted", problem.Unavailable, http.StatusServiceUnavailable),
		Entry("unknown", problem.Interrupted, http.StatusGatewayTimeout),
	)
})
