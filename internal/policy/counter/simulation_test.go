package counter

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

const simulationStepSeconds = 0.1

var aggregatorNames = []string{"k0", "k1", "k2", "k3", "k4"}

// simulation runs servers, aggregators and the replicated log in simulated time. Messages are lost,
// duplicated and late. Commands to close rows may be committed long after they were proposed, also
// those of a former leader.
type simulation struct {
	random          *rand.Rand
	now             float64
	messageLoss     float64 // probability
	inTransit       []delivery
	servers         []*simulatedServer
	killed          []*simulatedServer
	aggregators     []*simulatedAggregator
	log             *release.Log
	proposed        []release.Command // proposed commands that are not committed yet
	lastIncarnation uint64
}

// delivery is a message in transit.
type delivery struct {
	arrivesAt float64
	handle    func()
}

type simulatedServer struct {
	name         string
	incarnation  uint64
	reporter     *Reporter
	counted      uint64 // requests received by this incarnation
	acknowledged uint64 // the part of counted that, as the server knows, a majority has acknowledged
	partitioned  bool
	paused       bool
}

type simulatedAggregator struct {
	name           string
	aggregator     *Aggregator
	restarts       int
	log            *release.Log // copy of the log, which may be behind
	ignoresReports bool         // receives no reports from servers
}

func newSimulation(seed uint64, aggregators, servers int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), log: (&release.Log{}).Clone()}
	for i := range aggregators {
		s.aggregators = append(s.aggregators, &simulatedAggregator{name: aggregatorNames[i]})
	}
	for _, a := range s.aggregators {
		s.restartAggregator(a)
	}
	for i := range servers {
		server := &simulatedServer{name: fmt.Sprint("s", i)}
		s.servers = append(s.servers, server)
		s.startServer(server)
	}
	return s
}

// names returns the names of the aggregators.
func (s *simulation) names() []string { return aggregatorNames[:len(s.aggregators)] }

func (s *simulation) restartAggregator(a *simulatedAggregator) {
	a.restarts++
	a.log = s.log.Clone()
	incarnation := uint64(s.now*10) + uint64(a.restarts)
	closedRow := func(rowID uint64) (uint64, bool) { return a.log.ClosedRow(rowID) }
	a.aggregator = NewAggregator(a.name, s.names(), incarnation, closedRow, s.now)
}

func (s *simulation) startServer(server *simulatedServer) {
	s.lastIncarnation++
	server.incarnation = s.lastIncarnation << 16
	server.counted = 0
	server.acknowledged = 0
	server.reporter = NewReporter(server.name, server.incarnation, s.names(), s.now)
	s.log.Members[server.name] = server.incarnation
}

// send puts a message in transit zero, one or two times, each with a random delay.
func (s *simulation) send(handle func()) {
	for range 1 + s.random.IntN(5)/4 {
		if s.random.Float64() >= s.messageLoss {
			delay := 0.3 * s.random.ExpFloat64() * s.random.Float64()
			s.inTransit = append(s.inTransit, delivery{s.now + delay, handle})
		}
	}
}

func (s *simulation) aggregatorOf(name string) *simulatedAggregator {
	return s.aggregators[slices.Index(aggregatorNames, name)]
}

func (s *simulation) runServer(server *simulatedServer) {
	if server.paused {
		return
	}
	if s.random.IntN(3) == 0 {
		received := uint64(s.random.IntN(5))
		server.counted += received
		server.reporter.Add([]serving.CounterCell{{
			CounterKey:    serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(s.random.IntN(3))},
			RequestCounts: serving.RequestCounts{Received: received},
		}})
	}
	for _, envelope := range server.reporter.DueReports(s.now) {
		if !server.partitioned {
			s.sendReport(server, envelope)
		}
	}
	row, acknowledged := server.reporter.CurrentRow()
	if acknowledged {
		server.acknowledged = sumReceived(row)
		for _, counts := range server.reporter.closedRows {
			server.acknowledged += counts.Received
		}
	}
}

func (s *simulation) sendReport(server *simulatedServer, envelope Envelope) {
	report, reporter := *envelope.Report, server.reporter
	s.send(func() {
		to := s.aggregatorOf(envelope.To)
		if to.ignoresReports {
			return
		}
		ack := to.aggregator.HandleReport(s.now, &report)
		s.send(func() {
			if server.reporter == reporter && !server.paused && !server.partitioned {
				reporter.HandleAck(s.now, to.name, &ack)
			}
		})
	})
}

func sumReceived(list []serving.CounterCell) (sum uint64) {
	for _, cell := range list {
		sum += cell.Received
	}
	return sum
}

func (s *simulation) propose(toClose []RowReport) {
	if toClose == nil {
		return
	}
	command := release.Command{Kind: release.KindCloseCounters}
	for _, row := range toClose {
		closed := release.CounterRow{ID: row.RowID, Sequence: row.Sequence, Cells: row.Cells}
		command.CounterRows = append(command.CounterRows, closed)
	}
	s.proposed = append(s.proposed, command)
}

func (s *simulation) runAggregator(a *simulatedAggregator) {
	gone := func(server string, incarnation uint64) bool { return s.log.Members[server] != incarnation }
	isLeader := s.random.IntN(3) > 0 // often several aggregators believe that they are the leader's
	queries, toClose := a.aggregator.Maintain(s.now, isLeader, gone)
	s.propose(toClose)
	for _, envelope := range queries {
		s.sendQuery(a, envelope)
	}
}

func (s *simulation) sendQuery(a *simulatedAggregator, envelope Envelope) {
	restarts, query := a.restarts, *envelope.Query
	s.send(func() {
		to := s.aggregatorOf(envelope.To)
		reply := to.aggregator.HandleQuery(s.now, &query)
		s.send(func() {
			if a.restarts == restarts {
				s.propose(a.aggregator.HandleQueryReply(s.now, to.name, reply))
			}
		})
	})
}

func (s *simulation) run(seconds float64, faults bool) {
	for end := s.now + seconds; s.now < end; s.now += simulationStepSeconds {
		s.deliver()
		s.commit(faults)
		for _, server := range s.servers {
			s.runServer(server)
		}
		for _, a := range s.aggregators {
			if !faults || s.random.IntN(10) == 0 {
				a.log = s.log.Clone()
			}
			s.runAggregator(a)
		}
		if faults && s.random.IntN(25) == 0 {
			s.injectFault()
		}
	}
}

// deliver handles the messages that have arrived, in random order.
func (s *simulation) deliver() {
	var due []delivery
	s.inTransit = slices.DeleteFunc(s.inTransit, func(message delivery) bool {
		arrived := message.arrivesAt <= s.now
		if arrived {
			due = append(due, message)
		}
		return arrived
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, message := range due {
		message.handle()
	}
}

// commit applies the proposed commands to the log, a random part of them if faults is true.
func (s *simulation) commit(faults bool) {
	s.proposed = slices.DeleteFunc(s.proposed, func(command release.Command) bool {
		committed := !faults || s.random.IntN(20) == 0
		if committed {
			_ = s.log.Apply(&command)
		}
		return committed
	})
}

func (s *simulation) injectFault() {
	server := s.servers[s.random.IntN(len(s.servers))]
	a := s.aggregators[s.random.IntN(len(s.aggregators))]
	switch s.random.IntN(9) {
	case 0: // the server is killed and restarts with another incarnation
		killed := *server
		s.killed = append(s.killed, &killed)
		server.partitioned = false
		server.paused = false
		s.startServer(server)
	case 1:
		server.partitioned = !server.partitioned
	case 2:
		server.paused = !server.paused
	case 3: // the running server is removed from the members, or added again
		if s.log.Members[server.name] == server.incarnation {
			delete(s.log.Members, server.name)
		} else {
			s.log.Members[server.name] = server.incarnation
		}
	case 4:
		s.messageLoss = 0.6 * s.random.Float64() * float64(s.random.IntN(2))
	case 5, 6: // an aggregator restarts, provided that a majority remains that is not recovering
		majority := len(s.aggregators)/2 + 1
		if s.othersRecovering(a) < len(s.aggregators)-majority {
			s.restartAggregator(a)
		}
	case 7, 8:
		a.ignoresReports = !a.ignoresReports
	}
}

// othersRecovering returns how many aggregators other than excluded are recovering.
func (s *simulation) othersRecovering(excluded *simulatedAggregator) (recovering int) {
	for _, other := range s.aggregators {
		if other != excluded && other.aggregator.Recovering() {
			recovering++
		}
	}
	return recovering
}

// heal ends all faults. Messages that are in transit may still be late or duplicated.
func (s *simulation) heal() {
	s.messageLoss = 0
	for _, server := range s.servers {
		server.partitioned = false
		server.paused = false
	}
	for _, a := range s.aggregators {
		a.ignoresReports = false
	}
}

// bounds returns the bounds of the correct total. The lower bound includes all requests of running
// servers and, of killed servers, those that a majority has acknowledged. The upper bound includes
// all requests of both.
func (s *simulation) bounds() (low, high uint64) {
	for _, server := range s.servers {
		low += server.counted
		high += server.counted
	}
	for _, server := range s.killed {
		low += server.acknowledged
		high += server.counted
	}
	return low, high
}

// drain stops the servers from receiving requests and delivers all counts to the aggregators.
func (s *simulation) drain() {
	servers := s.servers
	s.servers = nil
	for range 60 {
		for _, server := range servers {
			server.reporter.nextReportAt = min(server.reporter.nextReportAt, s.now)
			for _, envelope := range server.reporter.DueReports(s.now) {
				ack := s.aggregatorOf(envelope.To).aggregator.HandleReport(s.now, envelope.Report)
				server.reporter.HandleAck(s.now, envelope.To, &ack)
			}
		}
		s.run(0.5, false)
	}
}
