package claim

import (
	"fmt"

	"github.com/google/uuid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Key is an idempotency key, a UUID of version 7.
type Key uuid.UUID

// ParseKey decodes the usual text form.
func ParseKey(text string) (k Key, err error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != 36 {
		return Key{}, fmt.Errorf("claim: key %q is not a UUID", text)
	}
	if id.Version() != 7 {
		return Key{}, fmt.Errorf("claim: key %q is a UUID of version %d, version 7 is needed", text, id.Version())
	}
	return Key(id), nil
}

// String returns the usual text form.
func (k Key) String() string { return uuid.UUID(k).String() }

// Time returns the time that the key carries.
func (k Key) Time() clock.Millis {
	t := clock.Millis(0)
	for _, b := range k[:6] {
		t = t<<8 | clock.Millis(b)
	}
	return t
}

// AttemptID identifies one try to run a request.
type AttemptID string

// NewAttemptID returns an identifier that no other attempt has.
func NewAttemptID() AttemptID { return AttemptID(uuid.NewString()) }
