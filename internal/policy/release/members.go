package release

// Ejection describes the ejection of a server.
type Ejection struct {
	Incarnation uint64  `json:"Life"` // 0 if every incarnation of the name is ejected
	Author      string  `json:"By"`
	Reason      string  `json:"Why"`
	Epoch       Epoch   `json:"On"` // newest epoch at the time of the ejection
	EjectedAt   float64 `json:"At"` // Unix seconds by the author's clock
}

// register registers a name for an incarnation if the name is not registered, or is registered for
// that incarnation or for command.Previous. It ends the ejection of another incarnation of the
// name.
func (l *Log) register(command *Command) error {
	owner, registered := l.Members[command.Name]
	switch {
	case command.Name == "" || command.Incarnation == 0:
		return ErrOutOfBounds
	case registered && owner != command.Previous && owner != command.Incarnation:
		return ErrNameTaken
	case !registered && len(l.Members) >= maxNames:
		return ErrTooManyNames
	}
	l.Members[command.Name] = command.Incarnation
	ejection, ejected := l.Ejected[command.Name]
	if ejected && ejection.Incarnation != 0 && ejection.Incarnation != command.Incarnation {
		delete(l.Ejected, command.Name)
	}
	return nil
}

func (l *Log) eject(command *Command) error {
	if _, ejected := l.Ejected[command.Name]; !ejected && len(l.Ejected) >= maxNames {
		return ErrTooManyNames
	}
	if command.Incarnation != 0 && l.Members[command.Name] != command.Incarnation {
		return ErrUnknownName // another incarnation has registered the name, or it was unregistered
	}
	l.Ejected[command.Name] = Ejection{
		Incarnation: command.Incarnation,
		Author:      command.Author,
		Reason:      command.Reason,
		Epoch:       l.NewestEpoch(),
		EjectedAt:   command.IssuedAt,
	}
	return nil
}

func (l *Log) readmit(command *Command) error {
	if _, ejected := l.Ejected[command.Name]; !ejected {
		return ErrUnknownName
	}
	delete(l.Ejected, command.Name)
	return nil
}

// unregister removes a name and the ejection of its incarnation. An ejection of every incarnation
// stays.
func (l *Log) unregister(command *Command) error {
	owner, registered := l.Members[command.Name]
	if !registered || command.Incarnation != 0 && owner != command.Incarnation {
		return ErrUnknownName
	}
	delete(l.Members, command.Name)
	if l.Ejected[command.Name].Incarnation != 0 {
		delete(l.Ejected, command.Name)
	}
	return nil
}
