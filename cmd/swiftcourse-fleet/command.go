package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"swiftcourse/internal/cli"
	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
)

// operator is the command line of those who steer a fleet.
type operator struct {
	At string `help:"Where a server answers operators, its fleet-control; SWIFTCOURSE_FLEET names it too." env:"SWIFTCOURSE_FLEET" default:"127.0.0.1:7950"`

	Status struct {
		JSON bool `name:"json" help:"As JSON."`
	} `cmd:"" help:"Who is there, on which version, and who is behind."`
	Audit struct {
		Since string `help:"Leave out versions before this epoch."`
		JSON  bool   `name:"json" help:"As JSON."`
	} `cmd:"" help:"Which server acted on which version from when to when; exit status 2 at an alarm."`
	Diff struct {
		JSON bool `name:"json" help:"As JSON."`
	} `cmd:"" help:"How all servers' copies stand, and what differs; exit status 2 at an alarm."`
	Budgets struct {
		JSON bool `name:"json" help:"As JSON."`
	} `cmd:"" help:"What this server holds of the budgets that all share and, where it leads, who was given what."`
	Counts struct {
		JSON bool `name:"json" help:"As JSON."`
	} `cmd:"" help:"What all servers were asked for, by tenant and stage, and what may be missing of it; known to the voters."`
	Demo  struct{} `cmd:"" help:"Show two levels on loopback, with stand-ins, while one process after the other dies; needs swiftcourse-bench beside this program."`
	Plans struct {
		JSON bool `name:"json" help:"As JSON."`
	} `cmd:"" help:"Which plan a forwarder goes by; at the planner that leads, what it knows of forwarders and workers."`
	Release struct {
		File  string   `arg:"" type:"existingfile" help:"What all servers are to act on, in the form of the operator's file."`
		Waves []string `help:"Parts of the fleet, rising, such as 1%,10%,50%; all follow after the last." placeholder:"PART"`
		Build string   `help:"The build of the program that it is meant for."`
		On    string   `help:"Refuse where another epoch is newest by now."`
	} `cmd:"" help:"Release a version."`
	Rollback struct {
		Why string `arg:"" optional:"" default:"by hand"`
	} `cmd:"" help:"Go on to a new version with the text of the one before."`
	Evict struct {
		Name string `arg:""`
		Why  string `arg:"" optional:"" default:"by hand"`
	} `cmd:"" help:"Shut a server out until it is admitted."`
	Admit struct {
		Name string `arg:""`
	} `cmd:"" help:"Let a server in again."`
}

// RunCommand carries the words after "fleet" out.
func (p *parts) RunCommand(words []string) error {
	var o operator
	parser, err := kong.New(&o, kong.Name("swiftcourse fleet"), kong.Description("Ask and steer a fleet, by any of its servers."))
	if err != nil {
		return err
	}
	given, err := parser.Parse(words)
	if err != nil {
		return err
	}
	author := "operator"
	if u, err := user.Current(); err == nil {
		author = u.Username
	}
	switch name, _, _ := strings.Cut(given.Command(), " "); name {
	case "status", "audit":
		err = o.look(name)
	case "diff":
		err = o.diff()
	case "budgets":
		err = o.budgets()
	case "counts":
		err = o.counts()
	case "demo":
		err = demo()
	case "plans":
		err = o.plans()
	case "release":
		err = o.release(author)
	case "rollback":
		err = o.command(release.Command{Kind: release.KindRollback, Author: author, Reason: o.Rollback.Why})
	case "evict":
		err = o.command(release.Command{Kind: release.KindEject, Author: author, Name: o.Evict.Name, Reason: o.Evict.Why})
	case "admit":
		err = o.command(release.Command{Kind: release.KindReadmit, Author: author, Name: o.Admit.Name})
	}
	return err
}

// demo goes on as the laboratory, which has the stand-ins.
func demo() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	lab, server := filepath.Join(filepath.Dir(self), "swiftcourse-bench"), filepath.Join(filepath.Dir(self), "swiftcourse")
	return fmt.Errorf("%s: %w", lab, syscall.Exec(lab, []string{lab, "demo", "--levels", "--server", server}, os.Environ()))
}

func (o *operator) command(c release.Command) error {
	newest, err := fleet.SendCommand(o.At, c)
	if err != nil {
		return err
	}
	fmt.Println("done; newest", newest)
	return nil
}

func (o *operator) release(author string) error {
	text, err := os.ReadFile(o.Release.File)
	if err != nil {
		return err
	}
	if _, err := config.DefaultOperatorSettings().WithRelease(o.Release.File, string(text)); err != nil {
		return err
	}
	c := release.Command{Kind: release.KindRelease, Author: author, Text: config.CanonicalText(string(text)), Build: o.Release.Build}
	c.Digest = release.Digest(c.Text, c.Build)
	for _, w := range o.Release.Waves {
		part, err := strconv.ParseFloat(strings.TrimSuffix(w, "%"), 64)
		if err != nil || !strings.HasSuffix(w, "%") {
			return fmt.Errorf("--waves: %q is no number of percent", w)
		}
		if part < 100 {
			c.Waves = append(c.Waves, part/100)
		}
	}
	if o.Release.On != "" {
		if c.ExpectedEpoch, err = release.ParseEpoch(o.Release.On); err != nil {
			return err
		}
	}
	return o.command(c)
}

func (o *operator) look(what string) error {
	s, err := fleet.FetchStatus(o.At, o.Audit.Since)
	if err != nil {
		return err
	}
	if o.Status.JSON || o.Audit.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		if err := out.Encode(s); err != nil {
			return err
		}
	} else if what == "status" {
		tellStatus(s)
	} else {
		tellAudit(s)
	}
	if len(s.Audit.Alarms) > 0 {
		for _, a := range s.Audit.Alarms {
			fmt.Fprintln(os.Stderr, "ALARM:", a)
		}
		return cli.ErrAlarm
	}
	return nil
}

func table() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) }

func tellStatus(s *fleet.Status) {
	fmt.Printf("%s (life %x) is %s, acts on %s; newest is %s; leader %s\n", s.Name, s.Incarnation, s.LeaseState, s.ActiveEpoch, s.Audit.NewestEpoch, s.Leader)
	if n := s.ReleaseLog.Next; n != nil {
		fmt.Printf("on its way: %s by %s, wave %d of %d\n", n.Epoch, n.Author, s.ReleaseLog.WaveIndex+1, len(s.ReleaseLog.Waves))
	}
	t := table()
	fmt.Fprintln(t, "server\tlife\tacts on\tshould\theard s ago\tbuild\tnote")
	for _, m := range s.Servers {
		note := m.EjectionReason
		if note != "" {
			note = "shut out: " + note
		} else if m.SecondsBehind > 0 {
			note = fmt.Sprintf("behind for %.1f s %s", m.SecondsBehind, m.BlockedBy)
		} else if !m.Reported {
			note = "not heard"
		}
		fmt.Fprintf(t, "%s\t%x\t%s\t%s\t%.1f\t%s\t%s\n", m.Name, m.Incarnation, m.ActiveEpoch, m.AssignedEpoch, m.SecondsSinceHeard, m.Build, note)
	}
	t.Flush()
}

func moment(unix float64) string {
	if unix == 0 {
		return "?"
	}
	return time.UnixMilli(int64(unix * 1000)).UTC().Format("2006-01-02T15:04:05.000")
}

func tellAudit(s *fleet.Status) {
	t := table()
	fmt.Fprintln(t, "server\tlife\tepoch\tdigest\tfrom (own clock)\tto\tbatches\ttasks\twhy")
	for _, a := range s.Audit.Accounts {
		for _, i := range a.Intervals {
			fmt.Fprintf(t, "%s\t%x\t%s\t%.12s\t%s\t%s\t%d\t%d\t%s\n", a.Name, a.Incarnation, i.Epoch, i.Digest, moment(i.From), moment(i.To), i.Batches, i.Requests, i.Reason)
		}
	}
	t.Flush()
	for _, b := range s.Audit.Lagging {
		fmt.Printf("behind: %s (life %x) on %s, should be on %s, for %.1f s: %s\n", b.Name, b.Incarnation, b.ActiveEpoch, b.AssignedEpoch, max(b.LagSeconds, b.SilentSeconds), b.Reason)
	}
	for _, h := range s.Audit.Gaps {
		fmt.Printf("hole: %s (life %x) from %s to %s: %s\n", h.Name, h.Incarnation, moment(h.From), moment(h.To), h.Reason)
	}
}

// diff tells how the copies of all servers stand, and what is wrong with them.
func (o *operator) diff() error {
	s, err := fleet.FetchStatus(o.At, "")
	if err != nil {
		return err
	}
	if len(s.Replicas) == 0 {
		return errors.New("no server keeps copies: replica-holders names none")
	}
	wrong, alarm := replication.Faults(s.Replicas)
	if o.Diff.JSON {
		err = json.NewEncoder(os.Stdout).Encode(map[string]any{"servers": s.Replicas, "faults": wrong, "alarm": alarm})
	} else {
		out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(out, "server\tholds\tcold\tdiffer\tlearned\taged\tmended\trecords\tKB\tdropped\tclaims\tpromised\tnot in time")
		for _, name := range slices.Sorted(maps.Keys(s.Replicas)) {
			c := s.Replicas[name]
			fmt.Fprintf(out, "%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", name, c.IsReplica, c.CatchingUp, c.OutOfSync, c.CaughtUpByPeers, c.CaughtUpByTimeout, c.RepairedRecords, c.Records,
				c.Bytes>>10, c.DroppedResults, c.ActiveClaims, c.ReplicatedResults, c.UnreplicatedResults)
		}
		err = out.Flush()
		for _, line := range wrong {
			fmt.Println(line)
		}
	}
	if err == nil && alarm {
		err = cli.ErrAlarm
	}
	return err
}

// budgets tells how the budgets stand at one server.
func (o *operator) budgets() error {
	s, err := fleet.FetchQuotas(o.At)
	if err != nil {
		return err
	}
	if o.Budgets.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	t := table()
	fmt.Fprintln(t, "held here\tfloor\tpart\tfor s")
	for _, a := range s.Held {
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.1f\n", a.Name, a.Floor, a.LeasedShare, a.LeaseExpiry-s.Now)
	}
	if s.IsLeader {
		fmt.Fprintln(t, "given by this server\tbudget\tgiven\tof\twanted\tservers\tnote")
		for _, a := range s.Granted {
			note := ""
			if !a.PriorLeasesExpired {
				note = "what was given before it led is not known yet: nobody gets more"
			}
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%s\n", a.Name, a.Max, a.Leased, a.Pool, a.Wanted, a.Servers, note)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if !s.IsLeader {
		fmt.Println("who was given what is told by", s.Leader)
	}
	return nil
}
