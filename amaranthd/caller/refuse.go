package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Headers of requests and responses.
const (
	// OutcomeHeader gives the outcome of a request that was refused or
	// answered with a stored response.
	OutcomeHeader = "X-Request-Outcome"
	// DeadlineHeader gives the time in milliseconds within which the caller
	// needs a response. The upstream gets the remaining time.
	DeadlineHeader = "X-Deadline-Millis"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// ServiceHeader names the service if the Host header does not.
	ServiceHeader = "X-Service"
)

// Reason is the reason for which a request was refused.
type Reason string

// Reasons for refusing a request.
const (
	ReasonBadKey         Reason = "badKey"
	ReasonKeyReused      Reason = "keyReusedWithOtherBody"
	ReasonKeyExpired     Reason = "keyExpired"
	ReasonBadDeadline    Reason = "badDeadline"
	ReasonUnknownService Reason = "unknownService"
	ReasonBusy           Reason = "busy"
	ReasonDeadline       Reason = "deadlinePassed"
	ReasonStopping       Reason = "stopping"
	ReasonRepeat         Reason = "repeat"
	ReasonNoMajority     Reason = "keyNotConfirmed"
	ReasonUpstream       Reason = "upstreamFailed"
	ReasonResuming       Reason = "resuming"
	ReasonBadBody        Reason = "bodyUnreadable"
)

// refusal is the JSON body of a refusal.
type refusal struct {
	Outcome          holder.Outcome `json:"outcome"`
	Reason           Reason         `json:"reason"`
	Detail           string         `json:"detail,omitempty"`
	RetryAfterMillis clock.Millis   `json:"retryAfterMillis,omitempty"`
}

// statusOf maps each reason to an HTTP status.
var statusOf = map[Reason]int{
	ReasonBadKey:         http.StatusBadRequest,
	ReasonKeyReused:      http.StatusUnprocessableEntity,
	ReasonKeyExpired:     http.StatusConflict,
	ReasonBadDeadline:    http.StatusBadRequest,
	ReasonUnknownService: http.StatusNotFound,
	ReasonBusy:           http.StatusServiceUnavailable,
	ReasonDeadline:       http.StatusGatewayTimeout,
	ReasonStopping:       http.StatusServiceUnavailable,
	ReasonRepeat:         http.StatusConflict,
	ReasonNoMajority:     http.StatusServiceUnavailable,
	ReasonUpstream:       http.StatusBadGateway,
	ReasonResuming:       http.StatusServiceUnavailable,
	ReasonBadBody:        http.StatusBadRequest,
}

const retryAfterMillis = clock.Second

// refuse responds to a request that gets no response from an upstream.
func refuse(w http.ResponseWriter, outcome holder.Outcome, reason Reason, detail string) {
	status := statusOf[reason]
	body := refusal{Outcome: outcome, Reason: reason, Detail: detail}
	if status >= http.StatusInternalServerError || status == http.StatusConflict {
		body.RetryAfterMillis = retryAfterMillis
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfterMillis/clock.Second)))
	}
	w.Header().Set(OutcomeHeader, string(outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
