package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// Node runs the agent of one process. One goroutine owns the Agent; it receives messages from the
// network and events from the serving loop through channels. All methods may be called from any
// goroutine.
type Node struct {
	config      Config
	logger      *slog.Logger
	gossip      *gossipNetwork
	random      *rand.Rand
	agent       *Agent // used only by the goroutine of run
	incarnation atomic.Uint64
	cancel      context.CancelFunc
	done        chan struct{}

	inbox          chan *wire.Envelope
	requests       chan func(now float64)
	claimEvents    chan ClaimEvent
	trustedClients chan []connlimit.TrustedClient
	usage          chan []Usage
	callStats      chan serving.CallStats
	requestCounts  chan []serving.CounterCell

	// dropped counts undecodable messages, and the messages and claim events for which the queue was
	// full.
	dropped      atomic.Uint64
	claimBacklog atomic.Int64 // queued claim events, and reports that the replicas have not recorded
}

const (
	// Capacities of the agent's queues.

	maxQueuedMessages     = 1024 // further messages are dropped
	maxQueuedRequests     = 16   // queries and commands
	maxQueuedTrustedLists = 2    // further lists are dropped, as a newer one follows soon
	maxQueuedUsageLists   = 4    // likewise
	maxQueuedCallStats    = 16
	maxQueuedCountLists   = 4 // if full, the serving loop keeps the counts and adds them to its next report

	// restartDelay is the time from an agent's panic to the start of the next agent, which takes
	// over no state.
	restartDelay = time.Second
	// minWakeup is the shortest timer interval, so that overdue wakeups do not cause a busy loop.
	minWakeup = time.Millisecond
	// requestTimeout limits the time until the agent accepts a request, and then the time until it
	// answers.
	requestTimeout = 2 * time.Second
	// undecodableLogEvery limits the log lines about undecodable messages to one for each
	// undecodableLogEvery drops that Node.dropped counts.
	undecodableLogEvery = 1000
)

// Start joins the fleet, and leaves it when the context is done or Stop is called. The random source
// is seeded with the time as well as Config.Seed, so that a restarted process gets a different
// incarnation.
func Start(ctx context.Context, config Config) (*Node, error) {
	random := rand.New(rand.NewPCG(uint64(config.Seed), uint64(time.Now().UnixNano())))
	n := &Node{
		config:         config,
		logger:         config.logger(),
		random:         random,
		done:           make(chan struct{}),
		inbox:          make(chan *wire.Envelope, maxQueuedMessages),
		requests:       make(chan func(float64), maxQueuedRequests),
		claimEvents:    make(chan ClaimEvent, maxQueuedClaimEvents),
		trustedClients: make(chan []connlimit.TrustedClient, maxQueuedTrustedLists),
		usage:          make(chan []Usage, maxQueuedUsageLists),
		callStats:      make(chan serving.CallStats, maxQueuedCallStats),
		requestCounts:  make(chan []serving.CounterCell, maxQueuedCountLists),
	}
	ctx, n.cancel = context.WithCancel(ctx)
	incarnation := n.newIncarnation()
	var err error
	if n.gossip, err = joinGossip(ctx, &config, incarnation, n.receive); err != nil {
		n.cancel()
		return nil, fmt.Errorf("fleet-listen %s: %w", config.ListenAddr, err)
	}
	n.startAgent(incarnation)
	go n.run(ctx)
	return n, nil
}

// Stop leaves the fleet, and returns once the agent has ended.
func (n *Node) Stop() {
	n.cancel()
	<-n.done
}

// Incarnation returns the number of the agent's current incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation.Load() }

// newIncarnation returns a random incarnation number, never 0.
func (n *Node) newIncarnation() uint64 { return n.random.Uint64() | 1 }

// startAgent starts an agent without the state of an earlier one.
func (n *Node) startAgent(incarnation uint64) {
	n.incarnation.Store(incarnation)
	n.agent = NewAgent(n.config, incarnation, n.gossip, n.random)
	n.claimBacklog.Store(0)
	if n.agent.replication != nil {
		n.agent.replication.backlog = &n.claimBacklog
	}
}

// receive decodes a message and queues it for the agent. It is called on the network's goroutines.
func (n *Node) receive(encoded []byte) {
	message, err := wire.Decode(encoded)
	if err != nil {
		if n.dropped.Add(1)%undecodableLogEvery == 1 {
			n.logger.Info("fleet_message_rejected", "err", err, "times", n.dropped.Load())
		}
		return
	}
	message.Size = len(encoded)
	select {
	case n.inbox <- message:
	default:
		n.dropped.Add(1)
	}
}

// run runs agents until the context is done. If an agent panics, run replaces it with an agent of a
// new incarnation. The server continues to serve meanwhile.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	defer n.gossip.close()
	for n.runAgent(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
			n.startAgent(n.newIncarnation())
		}
	}
}

// runAgent runs the current agent until the context is done or the agent panics. It reports whether
// the agent panicked and has to be replaced.
func (n *Node) runAgent(ctx context.Context) (restart bool) {
	defer func() {
		if cause := recover(); cause != nil {
			n.logger.Error("fleet_agent_panic", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			restart = true
		}
	}()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for n.handleNext(ctx, wakeup.C) {
		a := n.agent
		a.Tick(a.Now())
		wakeup.Reset(max(minWakeup, toDuration(a.NextWakeup()-a.Now())))
	}
	return false
}

// handleNext waits for the next event and handles it. It returns false once the context is done.
func (n *Node) handleNext(ctx context.Context, wakeup <-chan time.Time) bool {
	agent := n.agent
	select {
	case <-ctx.Done():
		return false
	case message := <-n.inbox:
		agent.HandleMessage(agent.Now(), message)
		for range len(n.inbox) { // handle all queued messages before the next Tick
			agent.HandleMessage(agent.Now(), <-n.inbox)
		}
	case request := <-n.requests:
		request(agent.Now())
	case clients := <-n.trustedClients:
		agent.ObserveTrusted(clients)
	case calls := <-n.callStats:
		agent.ObserveCalls(agent.Now(), calls)
	case cells := <-n.requestCounts:
		agent.ObserveCounts(cells)
	case usage := <-n.usage:
		agent.ObserveUsage(agent.Now(), usage)
	case event := <-n.claimEvents:
		agent.HandleClaimEvent(agent.Now(), event)
		for range len(n.claimEvents) {
			agent.HandleClaimEvent(agent.Now(), <-n.claimEvents)
		}
	case <-wakeup:
	}
	return true
}

// toDuration converts seconds to a Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// runOnAgent queues do to run on the goroutine that owns the agent, without waiting until it has run.
// It returns ErrAgentBusy if the queue is full for requestTimeout.
func (n *Node) runOnAgent(do func(now float64)) error {
	select {
	case n.requests <- do:
		return nil
	case <-time.After(requestTimeout):
		return ErrAgentBusy
	}
}

// await returns the result, or ErrAgentNotResponding if there is none within the timeout.
func await[T any](result <-chan T, timeout time.Duration) (T, error) {
	select {
	case value := <-result:
		return value, nil
	case <-time.After(timeout):
		var zero T
		return zero, ErrAgentNotResponding
	}
}

// query calls read on the goroutine that owns the agent, and returns its result.
func query[T any](n *Node, read func(a *Agent, now float64) T) (T, error) {
	result := make(chan T, 1)
	if err := n.runOnAgent(func(now float64) { result <- read(n.agent, now) }); err != nil {
		var zero T
		return zero, err
	}
	return await(result, requestTimeout)
}

// ExecuteCommand submits an operator's command, waits for its result, and returns the newest epoch
// afterwards. If the command is rejected the error is a *CommandRejectedError.
func (n *Node) ExecuteCommand(command release.Command) (release.Epoch, error) {
	done := make(chan wire.CommandResult, 1)
	submit := func(now float64) {
		n.agent.SubmitCommand(now, command, func(result wire.CommandResult) { done <- result })
	}
	if err := n.runOnAgent(submit); err != nil {
		return 0, err
	}
	result, err := await(done, toDuration(commandTimeoutSeconds)+requestTimeout)
	if err != nil {
		return 0, err
	}
	if result.RejectReason != "" {
		return result.NewestEpoch, &CommandRejectedError{Reason: result.RejectReason}
	}
	return result.NewestEpoch, nil
}
