package rollout

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

// Outcome tells what became of an offered file.
type Outcome uint8

// Outcomes of Offer.
const (
	// Accepted means that the file is in force now.
	Accepted Outcome = iota
	// Unchanged means that the file was in force already.
	Unchanged
	// Older means that the file does not follow the one in force.
	Older
	// Conflict means that the file has the version of the one in force and
	// other content, and that it lost.
	Conflict
	// ConflictAccepted is a Conflict that the offered file won.
	ConflictAccepted
	// Invalid means that the file was refused for its problems.
	Invalid
	// Deferred means that the file is kept until the peers were asked.
	Deferred
)

// ParsedFile is a file that parsed.
type ParsedFile struct {
	File   *config.File
	Body   []byte
	Digest config.Digest
}

// follows reports whether a file replaces the one in force.
func follows(v config.Version, d config.ShortDigest, inForce *ParsedFile) bool {
	if inForce == nil {
		return true
	}
	if v != inForce.File.Version {
		return v > inForce.File.Version
	}
	return d > inForce.Digest.Short()
}

// Selector holds the configuration in force. It is not safe for concurrent use.
type Selector struct {
	inForce *ParsedFile
	kept    *ParsedFile
	refused config.ShortDigest
	openAt  clock.Millis
	open    bool
}

// NewSelector returns the gate of a VM that starts at now and waits at most
// patience for others to tell what is in force.
func NewSelector(now, patience clock.Millis) *Selector { return &Selector{openAt: now + patience} }

// Active returns the configuration in force, nil before the first.
func (g *Selector) Active() *ParsedFile { return g.inForce }

// ShouldFetch reports whether a body with this version and digest is worth fetching.
func (g *Selector) ShouldFetch(v config.Version, d config.ShortDigest) bool {
	if v == 0 || d == g.refused {
		return false
	}
	return follows(v, d, g.inForce)
}

// Offer decides on a file from the platform, or from another VM if fromPeer.
// Problems are returned with Invalid.
func (g *Selector) Offer(now clock.Millis, body []byte, fromPeer bool) (Outcome, error) {
	digest := config.DigestOf(body)
	if g.inForce != nil && digest == g.inForce.Digest {
		return Unchanged, nil
	}
	f, err := configfile.Parse(body)
	if err != nil {
		g.refused = digest.Short()
		return Invalid, err
	}
	c := &ParsedFile{File: f, Body: body, Digest: digest}
	if !fromPeer && !g.open && now < g.openAt {
		if follows(f.Version, digest.Short(), g.kept) {
			g.kept = c
		}
		return Deferred, nil
	}
	return g.take(c), nil
}

func (g *Selector) take(c *ParsedFile) Outcome {
	same := g.inForce != nil && c.File.Version == g.inForce.File.Version
	if !follows(c.File.Version, c.Digest.Short(), g.inForce) {
		if same {
			return Conflict
		}
		return Older
	}
	g.inForce = c
	if same {
		return ConflictAccepted
	}
	return Accepted
}

// PeersQueried opens the gate: the peers told what they have, or there are
// none.
func (g *Selector) PeersQueried() { g.open = true }

// Tick takes the file that waited once the gate is open at now. It reports
// whether the configuration in force changed.
func (g *Selector) Tick(now clock.Millis) (changed bool) {
	if now >= g.openAt {
		g.open = true
	}
	if !g.open || g.kept == nil {
		return false
	}
	outcome := g.take(g.kept)
	g.kept = nil
	return outcome == Accepted || outcome == ConflictAccepted
}
