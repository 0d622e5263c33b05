package lease

import "swiftcourse/internal/policy/release"

// proposeBarrier proposes a command that changes nothing: it registers the name for the incarnation
// that already owns it. Commands are committed in the order in which they are proposed, so once the
// barrier's result is known, all earlier commands have been committed or lost.
func (g *Grantor) proposeBarrier(now float64, request *Request, record *serverRecord) []release.Command {
	g.lastID++
	commands := g.commands.propose(now, commandSubject(request.Name), release.Command{
		Kind:        release.KindRegister,
		ID:          g.lastID,
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Previous:    request.Incarnation,
	})
	if commands != nil {
		record.barrierID = g.lastID
	}
	return commands
}

// HandleCommandResult records that a command of any author was applied or refused. If the command
// is the barrier of a server's record, the server may get a lease again.
func (g *Grantor) HandleCommandResult(command *release.Command) {
	record := g.servers[command.Name]
	if record == nil || command.Kind != release.KindRegister || command.Author != commandAuthor {
		return
	}
	if command.ID != 0 && command.ID == record.barrierID && command.Incarnation == record.incarnation {
		record.leaseWithheld = false
		record.barrierID = 0
	}
}
