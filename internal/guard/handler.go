package guard

import "net/http"

// handler reports to the account of a request's connection when the request is whole. A request
// whose connection was given up before is not passed on.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 && r.Body != nil {
			c.account.BeginBody(c.guard.clock.Now())
			r.Body = &body{ReadCloser: r.Body, conn: c}
		} else if !c.serve() {
			return
		}
		next.ServeHTTP(w, r)
	})
}
