package consensus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// jsonCodec implements Codec with JSON.
type jsonCodec struct{}

func (jsonCodec) MarshalCommand(command *release.Command) []byte {
	data, _ := json.Marshal(command)
	return data
}

func (jsonCodec) UnmarshalCommand(data []byte) (*release.Command, error) {
	command := &release.Command{}
	return command, json.Unmarshal(data, command)
}

func (jsonCodec) MarshalLog(log *release.Log) []byte {
	data, _ := json.Marshal(log)
	return data
}

func (jsonCodec) UnmarshalLog(data []byte) (*release.Log, error) {
	log := &release.Log{}
	return log, json.Unmarshal(data, log)
}

// fatalReporter has the methods of testing.T and rapid.T that a cluster uses.
type fatalReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// link is one direction of the connection between two voters.
type link struct{ from, to string }

// delivery is a message in flight and the time of its delivery.
type delivery struct {
	at float64
	link
	message Message
}

// simulatedCluster runs voters in simulated time over a network that delays, loses and duplicates
// messages and can be partitioned. It fails the test if any two voters, at any two times, have
// different digests for one epoch or different states for one position of the release log.
type simulatedCluster struct {
	t             fatalReporter
	random        *rand.Rand
	now           float64
	names         []string
	voters        map[string]*Voter // nil for a voter that is down
	paused        map[string]bool   // paused processes, whose messages are kept in queued
	disconnected  map[link]bool     // links that lose all messages
	lossRate      float64
	startCount    int
	inFlight      []delivery
	queued        map[string][]Message // queued messages of paused voters
	digests       map[release.Epoch]string
	states        map[string]string // encoded release log by position
	results       map[uint64]error  // result of each committed command, by command ID
	lastCommandID uint64            // ID of the latest command from release
}

func newSimulatedCluster(t fatalReporter, seed uint64, size int) *simulatedCluster {
	c := &simulatedCluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 7)),
		voters:       map[string]*Voter{},
		paused:       map[string]bool{},
		disconnected: map[link]bool{},
		queued:       map[string][]Message{},
		digests:      map[release.Epoch]string{},
		states:       map[string]string{},
		results:      map[uint64]error{},
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("v%d", i+1))
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a voter, or restarts it with an empty log.
func (c *simulatedCluster) start(name string) {
	c.startCount++
	config := Config{Name: name, VoterNames: c.names, Seed: int64(c.startCount), Codec: jsonCodec{}}
	c.voters[name] = NewVoter(config, c.now, clusterIDEpochUnixSeconds+1000+c.now)
	c.queued[name] = nil
	c.paused[name] = false
}

// runningVoter returns the voter with the given name, or nil if it is down or paused.
func (c *simulatedCluster) runningVoter(name string) *Voter {
	if c.paused[name] {
		return nil
	}
	return c.voters[name]
}

// copyForReceiver returns the message with a copy of its raft message, as the sender may still
// change the original.
func copyForReceiver(message Message) Message {
	if message.Raft != nil {
		message.Raft = proto.Clone(message.Raft).(*pb.Message)
	}
	return message
}

// takeOutput takes the messages and results from a voter, puts the messages on the network, and
// checks the voter's release log.
func (c *simulatedCluster) takeOutput(name string) {
	voter := c.voters[name]
	for _, envelope := range voter.TakeOutbox() {
		for range 1 + c.random.IntN(11)/10 { // duplicates one message in eleven
			if c.disconnected[link{name, envelope.VoterName}] || c.random.Float64() < c.lossRate {
				continue
			}
			c.inFlight = append(c.inFlight, delivery{
				at:      c.now + 0.001 + 0.02*c.random.ExpFloat64(),
				link:    link{name, envelope.VoterName},
				message: copyForReceiver(envelope.Message),
			})
		}
	}
	for _, result := range voter.TakeResults() {
		if result.Command.ID != 0 {
			c.results[result.Command.ID] = result.Err
		}
	}
	c.checkAgreement(voter.ReleaseLog())
}

// checkAgreement compares a voter's release log with all release logs that were checked before.
func (c *simulatedCluster) checkAgreement(log *release.Log) {
	c.t.Helper()
	for _, version := range []*release.Version{&log.Current, log.Next} {
		if version == nil || version.Epoch == 0 {
			continue
		}
		if digest, seen := c.digests[version.Epoch]; seen && digest != version.Digest {
			c.t.Fatalf("at %.3f s epoch %s has digest %s, want %s as seen earlier",
				c.now, version.Epoch, version.Digest, digest)
		}
		c.digests[version.Epoch] = version.Digest
	}
	position := fmt.Sprintf("%d/%d", log.Current.Epoch.ClusterID(), log.AppliedCount)
	state := string(jsonCodec{}.MarshalLog(log))
	if other, seen := c.states[position]; seen && other != state {
		c.t.Fatalf("at %.3f s the release log at position %s differs from an earlier one:\n%s\nearlier:\n%s",
			c.now, position, state, other)
	}
	c.states[position] = state
}

// run advances the simulated time, delivers messages and ticks the running voters.
func (c *simulatedCluster) run(seconds float64) {
	c.t.Helper()
	for end := c.now + seconds; c.now < end; {
		c.now += 0.005
		if len(c.inFlight) > 20000 {
			c.t.Fatalf("%d messages in flight at %.3f s, want at most 20000: %s",
				len(c.inFlight), c.now, c.describe())
		}
		c.deliverDue()
		for _, name := range c.names {
			if voter := c.runningVoter(name); voter != nil && voter.NextWakeup() <= c.now {
				voter.Tick(c.now)
				c.takeOutput(name)
			}
		}
	}
}

func (c *simulatedCluster) deliverDue() {
	slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		next := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.deliver(next)
	}
}

func (c *simulatedCluster) deliver(next delivery) {
	voter := c.voters[next.to]
	switch {
	case voter == nil || c.disconnected[next.link]:
	case c.paused[next.to]:
		if len(c.queued[next.to]) < 500 {
			c.queued[next.to] = append(c.queued[next.to], next.message)
		}
	default:
		voter.HandleMessage(c.now, &next.message)
		c.takeOutput(next.to)
	}
}

// resume ends the pause of a voter and delivers its queued messages.
func (c *simulatedCluster) resume(name string) {
	c.paused[name] = false
	for _, message := range c.queued[name] {
		if voter := c.voters[name]; voter != nil {
			voter.HandleMessage(c.now, &message)
			c.takeOutput(name)
		}
	}
	c.queued[name] = nil
}

// heal starts, resumes and reconnects all voters, and waits until all are in a group and exactly
// one is the confirmed leader.
func (c *simulatedCluster) heal() {
	c.t.Helper()
	clear(c.disconnected)
	c.lossRate = 0
	for _, name := range c.names {
		if c.voters[name] == nil {
			c.start(name)
		}
		c.resume(name)
	}
	for range 200 {
		c.run(0.2)
		leaders, joined := 0, 0
		for _, voter := range c.voters {
			if voter.Joined() {
				joined++
			}
			if voter.IsLeader(c.now - 1) {
				leaders++
			}
		}
		if leaders == 1 && joined == len(c.names) {
			return
		}
	}
	c.t.Fatalf("no single leader of all voters 40 s after all faults ended, at %.1f s: %s",
		c.now, c.describe())
}

func (c *simulatedCluster) describe() string {
	var text strings.Builder
	for _, name := range c.names {
		voter := c.voters[name]
		if voter == nil {
			continue
		}
		clusterID, term := voter.Term()
		fmt.Fprintf(&text, "%s incarnation %x cluster %d term %d leader %q applied %d voters %v; ",
			name, voter.incarnation, clusterID, term, voter.Leader(),
			voter.releaseLog.AppliedCount, voter.releaseLog.Voters)
	}
	return text.String()
}

// releaseCommand returns a command that releases a text to all servers at once.
func releaseCommand(author, text string, expected release.Epoch) *release.Command {
	return &release.Command{
		Kind:          release.KindRelease,
		Author:        author,
		ExpectedEpoch: expected,
		Text:          text,
		Digest:        release.Digest(text, ""),
	}
}

// release proposes a release to one voter, with the newest epoch that the voter knows, and repeats
// the proposal until the command is committed or the given time has passed. It returns whether the
// command was committed, and the error with which the release log refused it, if any.
func (c *simulatedCluster) release(name, text string, seconds float64) (committed bool, refusal error) {
	c.t.Helper()
	c.lastCommandID++
	voter := c.voters[name]
	if voter == nil {
		return false, nil
	}
	command := releaseCommand("operator "+name, text, voter.ReleaseLog().NewestEpoch())
	command.ID = c.lastCommandID
	for end := c.now + seconds; c.now < end; c.run(0.3) {
		if refusal, committed := c.results[command.ID]; committed {
			return true, refusal
		}
		if voter := c.runningVoter(name); voter != nil {
			voter.Propose(command)
			c.takeOutput(name)
		}
	}
	return false, nil
}
