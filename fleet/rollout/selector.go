package rollout

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

// Outcome is the result of Selector.Offer.
type Outcome uint8

// Outcomes of Offer.
const (
	// Accepted means that the file is now active.
	Accepted Outcome = iota
	// Unchanged means that the file was already active.
	Unchanged
	// Older means that the file has a lower version than the active one.
	Older
	// Conflict means that the file has the version of the active one but
	// different content, and was rejected because its digest is lower.
	Conflict
	// ConflictAccepted means that the file has the version of the previously
	// active one but different content, and is now active because its digest
	// is greater.
	ConflictAccepted
	// Invalid means that the file could not be parsed or validated.
	Invalid
	// Deferred means that the file is kept until the peers have been queried.
	Deferred
)

// ParsedFile is a valid configuration file with its encoded form and digest.
type ParsedFile struct {
	File   *config.File
	Body   []byte
	Digest config.Digest
}

// supersedes reports whether a file with this version and digest replaces the
// active one, which is nil before the first.
func supersedes(v config.Version, d config.ShortDigest, active *ParsedFile) bool {
	if active == nil {
		return true
	}
	if v != active.File.Version {
		return v > active.File.Version
	}
	return d > active.Digest.Short()
}

// Selector holds the active configuration file and decides which one replaces
// it. It is not safe for concurrent use.
type Selector struct {
	active       *ParsedFile
	deferred     *ParsedFile
	rejected     config.ShortDigest
	waitUntil    clock.Millis
	peersQueried bool
}

// NewSelector returns the selector of a VM that starts at now. It defers files
// from the platform until the peers have been queried, for at most maxWait.
func NewSelector(now, maxWait clock.Millis) *Selector { return &Selector{waitUntil: now + maxWait} }

// Active returns the active configuration file, or nil before the first.
func (s *Selector) Active() *ParsedFile { return s.active }

// ShouldFetch reports whether a file with this version and digest would replace
// the active one. Version 0 and the file that was last found invalid would not.
func (s *Selector) ShouldFetch(v config.Version, d config.ShortDigest) bool {
	if v == 0 || d == s.rejected {
		return false
	}
	return supersedes(v, d, s.active)
}

// Offer decides on a file from the platform, or from another VM if fromPeer is
// set. The error is not nil only if the outcome is Invalid.
func (s *Selector) Offer(now clock.Millis, body []byte, fromPeer bool) (Outcome, error) {
	digest := config.DigestOf(body)
	if s.active != nil && digest == s.active.Digest {
		return Unchanged, nil
	}
	f, err := configfile.Parse(body)
	if err != nil {
		s.rejected = digest.Short()
		return Invalid, err
	}
	c := &ParsedFile{File: f, Body: body, Digest: digest}
	if !fromPeer && !s.peersQueried && now < s.waitUntil {
		if supersedes(f.Version, digest.Short(), s.deferred) {
			s.deferred = c
		}
		return Deferred, nil
	}
	return s.activate(c), nil
}

func (s *Selector) activate(c *ParsedFile) Outcome {
	same := s.active != nil && c.File.Version == s.active.File.Version
	if !supersedes(c.File.Version, c.Digest.Short(), s.active) {
		if same {
			return Conflict
		}
		return Older
	}
	s.active = c
	if same {
		return ConflictAccepted
	}
	return Accepted
}

// PeersQueried records that a peer has reported its version, or that there are
// no peers. Files from the platform are no longer deferred.
func (s *Selector) PeersQueried() { s.peersQueried = true }

// Tick decides on the deferred file, once the peers have been queried or the
// wait for them has ended. It reports whether the active file changed.
func (s *Selector) Tick(now clock.Millis) (changed bool) {
	if now >= s.waitUntil {
		s.peersQueried = true
	}
	if !s.peersQueried || s.deferred == nil {
		return false
	}
	outcome := s.activate(s.deferred)
	s.deferred = nil
	return outcome == Accepted || outcome == ConflictAccepted
}
