// Package teardown collects cleanup functions and runs them in reverse order.
package teardown

// List is a list of cleanup functions. The zero List is empty. It is not safe for
// concurrent use.
type List struct {
	functions []func()
}

// Add appends f to the list.
func (l *List) Add(f func()) { l.functions = append(l.functions, f) }

// Run calls all functions, the last added first, and empties the list.
func (l *List) Run() {
	for i := len(l.functions) - 1; i >= 0; i-- {
		l.functions[i]()
	}
	l.functions = nil
}
