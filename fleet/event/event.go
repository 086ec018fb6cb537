package event

import (
	"context"
	"log/slog"
	"strings"
)

// ID is the number of an event.
type ID int

// Events of the daemon's lifecycle.
const (
	DaemonStarted  ID = 1001
	DaemonLeaving  ID = 1002
	DaemonStopped  ID = 1003
	PauseDetected  ID = 1004
	PauseOver      ID = 1005
	SettingsFailed ID = 1006
	LinesDropped   ID = 1007
	SettingsTaken  ID = 1008
	LinesOmitted   ID = 1009
)

// Events of the configuration.
const (
	ConfigAccepted ID = 2001
	ConfigInvalid  ID = 2002
	ConfigOlder    ID = 2003
	ConfigConflict ID = 2004
	ConfigFetched  ID = 2005
	PlatformDown   ID = 2006
	PlatformBack   ID = 2007
	ListInvalid    ID = 2008
)

// Events of membership and of communication between VMs.
const (
	VMChanged      ID = 3001
	ChannelSilent  ID = 3002
	MessageInvalid ID = 3003
	HandoverDone   ID = 3004
	HandoverFailed ID = 3005
)

// Events of upstreams.
const (
	UpstreamCold      ID = 4001
	UpstreamUnhealthy ID = 4002
	UpstreamHealthy   ID = 4003
	DomainOut         ID = 4004
	DomainIn          ID = 4005
)

// Events of published items, and of flows whose packets carry a token that names
// their upstream.
const (
	ItemChanged    ID = 6001
	ItemInvalid    ID = 6002
	FlowPlaced     ID = 6003
	FlowRefused    ID = 6004
	FlowLost       ID = 6005
	UpstreamHealth ID = 6006
	DomainHealth   ID = 6007
	CatalogTaken   ID = 6008
	DomainHeard    ID = 6009
	// RequestForwarded and RequestStopped are logged for packets that start a
	// request.
	RequestForwarded ID = 6010
	RequestStopped   ID = 6011
	// EvidenceDistrusted is logged when a VM begins to distrust its evidence against
	// upstreams.
	EvidenceDistrusted ID = 6012
	// AdmissionChanged is logged when the share of new flows that is admitted changes.
	AdmissionChanged ID = 6013
	// StoreEraChanged is logged when the store came back from an older copy, and
	// StoreEraInvalid when a response does not tell the era of the store.
	StoreEraChanged ID = 6014
	StoreEraInvalid ID = 6015
	// VMOverloaded is logged when the reaction of a VM to its own load changes.
	VMOverloaded ID = 6016
	// RemovalsRead is logged when a VM has read tombstones from the source, and
	// RemovalsUnknown when a VM without a copy could not.
	RemovalsRead    ID = 6017
	RemovalsUnknown ID = 6018
)

// Events of requests.
const (
	RequestUnknown ID = 5001
	ClaimLost      ID = 5002
	AnswerCut      ID = 5003
)

// Names maps events to their names in the catalogue and in the log.
var Names = map[ID]string{
	DaemonStarted:      "daemonStarted",
	DaemonLeaving:      "daemonLeaving",
	DaemonStopped:      "daemonStopped",
	PauseDetected:      "pauseDetected",
	PauseOver:          "pauseOver",
	SettingsFailed:     "settingsFailed",
	LinesDropped:       "linesDropped",
	SettingsTaken:      "settingsTaken",
	ItemChanged:        "itemChanged",
	ItemInvalid:        "itemInvalid",
	FlowPlaced:         "flowPlaced",
	FlowRefused:        "flowRefused",
	FlowLost:           "flowLost",
	UpstreamHealth:     "upstreamHealth",
	DomainHealth:       "domainHealth",
	CatalogTaken:       "catalogTaken",
	DomainHeard:        "domainHeard",
	RequestForwarded:   "requestForwarded",
	RequestStopped:     "requestStopped",
	EvidenceDistrusted: "evidenceDistrusted",
	AdmissionChanged:   "admissionChanged",
	StoreEraChanged:    "storeEraChanged",
	StoreEraInvalid:    "storeEraInvalid",
	VMOverloaded:       "vmOverloaded",
	RemovalsRead:       "removalsRead",
	RemovalsUnknown:    "removalsUnknown",
	LinesOmitted:       "linesOmitted",
	ConfigAccepted:     "configAccepted",
	ConfigInvalid:      "configInvalid",
	ConfigOlder:        "configOlder",
	ConfigConflict:     "configConflict",
	ConfigFetched:      "configFetched",
	PlatformDown:       "platformDown",
	PlatformBack:       "platformBack",
	ListInvalid:        "listInvalid",
	VMChanged:          "vmChanged",
	ChannelSilent:      "channelSilent",
	MessageInvalid:     "messageInvalid",
	HandoverDone:       "handoverDone",
	HandoverFailed:     "handoverFailed",
	UpstreamCold:       "upstreamCold",
	UpstreamUnhealthy:  "upstreamUnhealthy",
	UpstreamHealthy:    "upstreamHealthy",
	DomainOut:          "domainOut",
	DomainIn:           "domainIn",
	RequestUnknown:     "requestUnknown",
	ClaimLost:          "claimLost",
	AnswerCut:          "answerCut",
}

// levels maps events to their log levels. All others have the level Info.
var levels = map[ID]slog.Level{
	PauseDetected:      slog.LevelWarn,
	SettingsFailed:     slog.LevelError,
	LinesDropped:       slog.LevelWarn,
	LinesOmitted:       slog.LevelWarn,
	RequestStopped:     slog.LevelWarn,
	EvidenceDistrusted: slog.LevelWarn,
	AdmissionChanged:   slog.LevelWarn,
	StoreEraChanged:    slog.LevelWarn,
	StoreEraInvalid:    slog.LevelWarn,
	VMOverloaded:       slog.LevelWarn,
	RemovalsUnknown:    slog.LevelWarn,
	ItemInvalid:        slog.LevelError,
	FlowRefused:        slog.LevelWarn,
	FlowLost:           slog.LevelWarn,
	UpstreamHealth:     slog.LevelWarn,
	DomainHealth:       slog.LevelWarn,
	ConfigInvalid:      slog.LevelError,
	ConfigConflict:     slog.LevelError,
	ConfigOlder:        slog.LevelWarn,
	PlatformDown:       slog.LevelWarn,
	ListInvalid:        slog.LevelError,
	ChannelSilent:      slog.LevelWarn,
	MessageInvalid:     slog.LevelDebug,
	HandoverFailed:     slog.LevelWarn,
	UpstreamCold:       slog.LevelWarn,
	UpstreamUnhealthy:  slog.LevelWarn,
	RequestUnknown:     slog.LevelWarn,
	ClaimLost:          slog.LevelWarn,
	AnswerCut:          slog.LevelWarn,
}

// Log writes a log line with the event's name as its message, its number in the
// attribute "event", and attrs.
func Log(ctx context.Context, log *slog.Logger, id ID, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int("event", int(id))}, attrs...)
	log.LogAttrs(ctx, levels[id], Names[id], all...)
}

// maxErrorBytes limits the text of a logged error, which may quote input of any size.
const maxErrorBytes = 1000

// Error returns the attribute "error" with the text of err, cut off after
// maxErrorBytes.
func Error(err error) slog.Attr {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return slog.String("error", text)
}
