package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Headers of requests and answers.
const (
	// OutcomeHeader tells what became of a request that was refused or
	// answered from memory.
	OutcomeHeader = "X-Request-Outcome"
	// DeadlineHeader gives the time in milliseconds in which the caller needs
	// an answer. It goes on to the upstream with the time that is left.
	DeadlineHeader = "X-Deadline-Millis"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// ServiceHeader names the service where the Host header does not.
	ServiceHeader = "X-Service"
)

// Reason tells why a request was refused.
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

// refusal is the body of a refused request's answer.
type refusal struct {
	Outcome          holder.Outcome `json:"outcome"`
	Reason           Reason         `json:"reason"`
	Detail           string         `json:"detail,omitempty"`
	RetryAfterMillis clock.Millis   `json:"retryAfterMillis,omitempty"`
}

// statusOf returns the HTTP status of each reason.
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

const retryAfter = clock.Second

// refuse answers a request that gets no answer of an upstream.
func refuse(w http.ResponseWriter, outcome holder.Outcome, reason Reason, detail string) {
	status := statusOf[reason]
	body := refusal{Outcome: outcome, Reason: reason, Detail: detail}
	if status >= http.StatusInternalServerError || status == http.StatusConflict {
		body.RetryAfterMillis = retryAfter
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/clock.Second)))
	}
	w.Header().Set(OutcomeHeader, string(outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
