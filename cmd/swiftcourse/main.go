// Command swiftcourse is the real server: it serves balancers on a socket and decides with package choice.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"swiftcourse/internal/life"
	"swiftcourse/internal/serve"
	"swiftcourse/internal/watch"
)

type program struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Serve, as the environment and RELAY_CONFIG tell. This is what it does with no words."`
	Check checkCommand `cmd:"" help:"Tell all that is wrong with an operator's file."`
}

type serveCommand struct {
	Conf string `help:"The operator's file; SWIFTCOURSE_CONF names it too." type:"path" placeholder:"FILE"`
}

type checkCommand struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

func (c *checkCommand) Run() error {
	if _, err := life.ReadConf(c.File); err != nil {
		return err
	}
	fmt.Println(c.File, "is right")
	return nil
}

func (c *serveCommand) Run(signals life.Signals) error {
	start, err := life.Read(os.Getenv)
	if err != nil {
		watch.Fatal("bad_configuration", "err", err)
	}
	path := life.ConfPath(c.Conf, os.Getenv)
	conf, err := life.ReadConf(path)
	if err != nil {
		watch.Fatal("bad_conf", "err", err)
	}
	life.Fit(start)
	slog.Info("start", "name", start.Name, "listen", start.Listen, "processor", start.Processor,
		"catalogue", start.Catalogue, "roster", start.Roster, "stop_s", start.Stop, "cores", start.Cores,
		"memory_mb", start.Memory>>20, "sockets", start.Sockets, "stages", len(start.Stages),
		"tenants", len(start.Tenants), "conf", path, "door", conf.Door)
	for i, stage := range start.Site.Stages {
		slog.Info("stage", "name", start.StageNames[i], "due_s", stage.DueTime, "limit_s", stage.TimeLimit,
			"utility", stage.Utility, "late_utility", stage.LateUtility, "skip_utility", stage.SkipUtility,
			"calls", stage.Calls)
	}
	server := serve.New(start, conf)
	signals.Follow(server.Leave, func() {
		to, ignored, err := start.Again(os.Getenv)
		next, err2 := life.ReadConf(path)
		if err != nil || err2 != nil {
			for _, err := range []error{err, err2} {
				if err != nil {
					slog.Info("reload_rejected", "err", err)
				}
			}
			return
		}
		for _, key := range ignored {
			slog.Info("reload_ignores", "key", key)
		}
		slog.Info("reload", "processor", to.Processor, "catalogue", to.Catalogue, "roster", to.Roster, "door", next.Door)
		server.Move(to)
		server.Heed(next)
	}, server.Tell)
	if err := server.Run(); err != nil {
		watch.Fatal("end", "err", err)
	}
	return nil
}

func main() {
	signals := life.Hear() // before all else, so that none ends the process
	watch.To(os.Stderr)
	var p program
	words := kong.Parse(&p, kong.Name("swiftcourse"), kong.UsageOnError(), kong.Bind(signals),
		kong.Description("Admission and scheduling for servers behind balancers that nobody can change."))
	if err := words.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
