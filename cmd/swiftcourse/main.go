// Command swiftcourse is the real server: it serves balancers on a socket and decides with package choice.
package main

import (
	"log"
	"os"

	"swiftcourse/internal/life"
	"swiftcourse/internal/serve"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	signals := life.Hear()
	start, err := life.Read(os.Getenv)
	if err != nil {
		log.Fatalf("event=bad_configuration err=%q", err)
	}
	life.Fit(start)
	log.Printf("event=start name=%s listen=%s processor=%s catalogue=%s roster=%s stop_s=%g cores=%g memory_mb=%d "+
		"sockets=%d stages=%d tenants=%d", start.Name, start.Listen, start.Processor, start.Catalogue, start.Roster,
		start.Stop, start.Cores, start.Memory>>20, start.Sockets, len(start.Stages), len(start.Tenants))
	for i, stage := range start.Site.Stages {
		log.Printf("event=stage name=%s due_s=%g limit_s=%g utility=%g late_utility=%g skip_utility=%g calls=%t",
			start.StageNames[i], stage.DueTime, stage.TimeLimit, stage.Utility, stage.LateUtility, stage.SkipUtility,
			stage.Calls)
	}
	server := serve.New(start)
	signals.Follow(server.Leave, func() {
		to, ignored, err := start.Again(os.Getenv)
		if err != nil {
			log.Printf("event=reload_rejected err=%q", err)
			return
		}
		for _, key := range ignored {
			log.Printf("event=reload_ignores key=%s", key)
		}
		log.Printf("event=reload processor=%s catalogue=%s roster=%s", to.Processor, to.Catalogue, to.Roster)
		server.Move(to)
	}, server.Tell)
	if err := server.Run(); err != nil {
		log.Fatalf("event=end err=%q", err)
	}
}
