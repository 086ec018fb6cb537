package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
)

// Query answers the parameters of a request with a value to encode as JSON. An error
// that is no QueryError is answered with status 500.
type Query func(parameters url.Values) (any, error)

// QueryError is the reason why a query is not answered.
type QueryError struct {
	// Status is the status of the response, such as 400 or 404.
	Status  int
	Message string
}

// Error returns the message.
func (e *QueryError) Error() string { return e.Message }

// HandleQuery serves GET requests to path with q.
func (s *Server) HandleQuery(path string, q Query) { s.mux.Handle("GET "+path, q) }

// ServeHTTP answers a request with JSON, or with an error as text.
func (q Query) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parameters, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		http.Error(w, "operator: parse query: "+err.Error(), http.StatusBadRequest)
		return
	}
	value, err := q(parameters)
	if err != nil {
		status := http.StatusInternalServerError
		var failed *QueryError
		if errors.As(err, &failed) {
			status = failed.Status
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
