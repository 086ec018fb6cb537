package store

import (
	"maps"
	"sync"
)

// Writer writes for the operator and the upstreams, who write everything again after the
// store came back from an older copy. It is safe for concurrent use.
type Writer struct {
	store *Server

	mu      sync.Mutex
	written map[string]any // nil for removed keys
	// sequence numbers the entries that have a field of that name.
	sequence int
}

const sequenceField = "sequence"

// NewWriter returns a writer to s.
func NewWriter(s *Server) *Writer { return &Writer{store: s, written: make(map[string]any)} }

// Put writes an item as Server.Put does. If it has a field sequence, that is replaced by
// the next number.
func (w *Writer) Put(key string, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.put(key, value)
}

func (w *Writer) put(key string, value any) {
	if fields, ok := value.(map[string]any); ok && fields[sequenceField] != nil {
		w.sequence++
		fields = maps.Clone(fields)
		fields[sequenceField] = w.sequence
		value = fields
	}
	w.written[key] = value
	w.store.Put(key, value)
}

// Remove removes an item, if it exists.
func (w *Writer) Remove(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[key] = nil
	w.store.Remove(key)
}

// WriteAgain puts and removes everything again.
func (w *Writer) WriteAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, value := range w.written {
		if value == nil {
			w.store.Remove(key)
			continue
		}
		w.put(key, value)
	}
}
