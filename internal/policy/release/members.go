package release

// Ejection says why a server is ejected.
type Ejection struct {
	Incarnation uint64  `json:"Life"` // 0 if every incarnation of that name is ejected
	Author      string  `json:"By"`
	Reason      string  `json:"Why"`
	Epoch       Epoch   `json:"On"` // the newest at that time
	EjectedAt   float64 `json:"At"` // Unix seconds by the author's clock
}

// register gives a name to an incarnation if the name is free, or belongs to that incarnation or to
// the one in command.Previous.
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
		delete(l.Ejected, command.Name) // another incarnation was ejected
	}
	return nil
}

func (l *Log) eject(command *Command) error {
	if _, ejected := l.Ejected[command.Name]; !ejected && len(l.Ejected) >= maxNames {
		return ErrTooManyNames
	}
	if command.Incarnation != 0 && l.Members[command.Name] != command.Incarnation {
		return ErrUnknownName // the name belongs to another incarnation by now
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

// unregister removes a name, and with it an ejection of one incarnation. An ejection of every
// incarnation stays.
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
