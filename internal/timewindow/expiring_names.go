package timewindow

import "slices"

// ExpiringNames is a list of names, each of which expires at its own time. A name may be in it more
// than once.
type ExpiringNames []expiringName

type expiringName struct {
	name      string
	expiresAt float64 // seconds
}

// Add appends a name.
func (l *ExpiringNames) Add(name string, expiresAt float64) {
	*l = append(*l, expiringName{name, expiresAt})
}

// Expire removes the names that have expired at now.
func (l *ExpiringNames) Expire(now float64) {
	*l = slices.DeleteFunc(*l, func(e expiringName) bool { return e.expiresAt <= now })
}

// Remove removes every occurrence of a name and reports whether there was one.
func (l *ExpiringNames) Remove(name string) bool {
	before := len(*l)
	*l = slices.DeleteFunc(*l, func(e expiringName) bool { return e.name == name })
	return len(*l) < before
}
