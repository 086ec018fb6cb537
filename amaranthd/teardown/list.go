// Package teardown collects the clean-up functions of a program's parts.
package teardown

// List holds clean-up functions. The zero List is empty.
type List struct {
	functions []func()
}

// Add adds a function.
func (l *List) Add(f func()) { l.functions = append(l.functions, f) }

// Run runs all functions, the last added first, and empties the list.
func (l *List) Run() {
	for i := len(l.functions) - 1; i >= 0; i-- {
		l.functions[i]()
	}
	l.functions = nil
}
