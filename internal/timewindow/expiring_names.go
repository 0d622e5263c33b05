package timewindow

import "slices"

// ExpiringNames is a list of names, each with its own expiry time. It may contain a name more than
// once.
type ExpiringNames []expiringName

type expiringName struct {
	name      string
	expiresAt float64 // seconds
}

// Add appends a name.
func (l *ExpiringNames) Add(name string, expiresAt float64) {
	*l = append(*l, expiringName{name, expiresAt})
}

// Expire removes the names whose expiry time is now or earlier.
func (l *ExpiringNames) Expire(now float64) {
	*l = slices.DeleteFunc(*l, func(e expiringName) bool { return e.expiresAt <= now })
}

// Remove removes every occurrence of a name and reports whether there was any.
func (l *ExpiringNames) Remove(name string) bool {
	before := len(*l)
	*l = slices.DeleteFunc(*l, func(e expiringName) bool { return e.name == name })
	return len(*l) < before
}
