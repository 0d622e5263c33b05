package lease

import "swiftcourse/internal/policy/release"

// serverRecord is what a grantor knows of one incarnation of a server. It is not replicated: it
// ends with the leader's term.
type serverRecord struct {
	incarnation uint64
	addr        string
	build       string
	heardAt     float64
	// leaseEnd is when the latest lease that was granted has surely ended.
	leaseEnd float64

	activeEpoch release.Epoch
	blockedBy   string
	errorTally  release.ErrorTally
	// laggingSince is when the server was first seen on another version than the assigned one, or
	// notLagging.
	laggingSince float64
	// refusedAsLagging tells that the server counts toward Config.MaxUnavailable while its ejection
	// is not committed yet.
	refusedAsLagging bool

	// leaseWithheld tells that a command was proposed that ejects this incarnation or takes its
	// name, so that it has no lease until the command's result is known. A leader's commands are
	// committed in the order in which it proposes them: once a fence, which is a command that
	// changes nothing, is committed, all before it are. A new leader knows the results of all
	// earlier commands before a majority confirms it.
	leaseWithheld bool
	// fenceID is the ID of the fence that was proposed, 0 for none.
	fenceID uint64

	// mayGoOutOfService tells that the server has the permission, or may have it.
	mayGoOutOfService bool
	// permitRequest is the number of the latest request whose reply gave the permission.
	permitRequest uint64
}

// notLagging is serverRecord.laggingSince of a server on its assigned version.
const notLagging = -1

func (r *serverRecord) lagging() bool { return r.laggingSince >= 0 }

// lagReason returns why the server is not on its assigned version.
func (r *serverRecord) lagReason() string {
	if r.blockedBy != "" {
		return r.blockedBy
	}
	return reasonNotCaughtUp
}

// update takes over what the server says in a request.
func (r *serverRecord) update(now float64, request *Request, assigned release.Epoch) {
	r.addr = request.Addr
	r.build = request.Build
	r.heardAt = now
	r.activeEpoch = request.ActiveEpoch
	r.blockedBy = request.BlockedBy
	r.errorTally = request.ErrorTally
	if request.ActiveEpoch == assigned {
		r.laggingSince = notLagging
	} else if !r.lagging() {
		r.laggingSince = now
	}
}

// observe updates the record of a name's owner from its request. It returns nil if the lease table
// has no room for a new one.
func (g *Grantor) observe(now float64, request *Request, releaseLog *release.Log) *serverRecord {
	record := g.servers[request.Name]
	if record == nil || record.incarnation != request.Incarnation {
		if record == nil && len(g.servers) >= maxServers {
			return nil
		}
		record = &serverRecord{incarnation: request.Incarnation, laggingSince: notLagging, leaseEnd: now}
		if g.permits.appliedCount == releaseLog.AppliedCount {
			g.permits.count-- // it was counted as a server that was not heard yet
		}
		if !g.priorLeasesOver(now) {
			record.leaseEnd = g.priorLeasesEnd()
		}
		g.servers[request.Name] = record
	}
	record.update(now, request, releaseLog.VersionFor(request.Name).Epoch)
	return record
}

// leaseOver reports whether the owner of a name can't have a lease any more. An owner that took the
// name from another incarnation first has the time of a lease to request one: else several
// processes of one name would take it from one another for ever.
func (g *Grantor) leaseOver(now float64, name string, owner uint64) bool {
	record := g.servers[name]
	if record == nil {
		return g.priorLeasesOver(now)
	}
	if record.incarnation != owner {
		record = &serverRecord{
			incarnation:       owner,
			laggingSince:      notLagging,
			heardAt:           now,
			leaseEnd:          max(now+g.leaseBound(), g.priorLeasesEnd()),
			mayGoOutOfService: true,
		}
		g.servers[name] = record
	}
	return now > record.leaseEnd
}

// withholdLease refuses a lease to an incarnation until the result of a command is known that may
// take its name. heardAt is when the incarnation was last heard, if the table has no record of it.
func (g *Grantor) withholdLease(heardAt float64, name string, incarnation uint64) {
	record := g.servers[name]
	if record == nil || record.incarnation != incarnation {
		record = &serverRecord{
			incarnation:  incarnation,
			laggingSince: notLagging,
			heardAt:      heardAt,
			leaseEnd:     heardAt,
		}
		g.servers[name] = record
	}
	record.leaseWithheld = true
	record.fenceID = 0 // an earlier fence tells nothing of this command
}

// fence proposes a command that changes nothing. Its result tells that the commands proposed before
// it have been decided.
func (g *Grantor) fence(now float64, request *Request, record *serverRecord) []release.Command {
	g.lastID++
	commands := g.commands.propose(now, request.Name, release.Command{
		Kind:        release.KindRegister,
		ID:          g.lastID,
		Name:        request.Name,
		Incarnation: request.Incarnation,
		Previous:    request.Incarnation,
	})
	if commands != nil {
		record.fenceID = g.lastID
	}
	return commands
}

// HandleCommandResult takes note that a command, proposed by this leader or anybody, was applied or
// refused.
func (g *Grantor) HandleCommandResult(command *release.Command) {
	record := g.servers[command.Name]
	if record == nil || command.Kind != release.KindRegister || command.Author != commandAuthor {
		return
	}
	if command.ID != 0 && command.ID == record.fenceID && command.Incarnation == record.incarnation {
		record.leaseWithheld = false
		record.fenceID = 0
	}
}
