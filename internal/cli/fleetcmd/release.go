package fleetcmd

import (
	"os"
	"os/user"
	"strconv"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/release"
)

// unknownAuthor is the author of a command if the name of the user can't be determined.
const unknownAuthor = "operator"

// releaseCommand releases a new version of the settings.
type releaseCommand struct {
	File  string   `arg:"" type:"existingfile" help:"Settings for all servers, in the format of the operator's file."`
	Waves []string `help:"Increasing parts of the fleet, such as 1%,10%,50%; then all servers." placeholder:"PART"`
	Build string   `help:"The program build that the release is meant for."`
	On    string   `help:"Reject the release unless this is the newest epoch."`
}

// Run validates the file and releases its settings.
func (c *releaseCommand) Run(s *session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := config.DefaultOperatorSettings().WithRelease(c.File, string(content)); err != nil {
		return err
	}
	command := release.Command{
		Kind:  release.KindRelease,
		Text:  config.CanonicalText(string(content)),
		Build: c.Build,
	}
	command.Digest = release.Digest(command.Text, command.Build)
	if command.Waves, err = parseWaves(c.Waves); err != nil {
		return err
	}
	if c.On != "" {
		if command.ExpectedEpoch, err = release.ParseEpoch(c.On); err != nil {
			return err
		}
	}
	return s.send(command)
}

// parseWaves converts percentages of the fleet to fractions. It omits percentages of 100 and more,
// as all servers follow after the last wave anyway.
func parseWaves(percentages []string) (waves []float64, err error) {
	for _, text := range percentages {
		percentage, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
		if err != nil || !strings.HasSuffix(text, "%") {
			return nil, &FlagError{Flag: "--waves", Value: text, Reason: "is not a percentage"}
		}
		if percentage < 100 {
			waves = append(waves, percentage/100)
		}
	}
	return waves, nil
}

// rollbackCommand rolls back the newest version.
type rollbackCommand struct {
	Reason string `arg:"" name:"why" optional:"" default:"by hand"`
}

// Run sends the command to the server.
func (c *rollbackCommand) Run(s *session) error {
	return s.send(release.Command{Kind: release.KindRollback, Reason: c.Reason})
}

// ejectCommand ejects a server.
type ejectCommand struct {
	Name   string `arg:""`
	Reason string `arg:"" name:"why" optional:"" default:"by hand"`
}

// Run sends the command to the server.
func (c *ejectCommand) Run(s *session) error {
	return s.send(release.Command{Kind: release.KindEject, Name: c.Name, Reason: c.Reason})
}

// readmitCommand readmits a server.
type readmitCommand struct {
	Name string `arg:""`
}

// Run sends the command to the server.
func (c *readmitCommand) Run(s *session) error {
	return s.send(release.Command{Kind: release.KindReadmit, Name: c.Name})
}

// send sends a command to the server, with the current user as its author, and prints the newest
// epoch after the command.
func (s *session) send(command release.Command) error {
	command.Author = author()
	newest, err := fleet.SendCommand(s.addr, command)
	if err != nil {
		return err
	}
	output := &report{out: s.out}
	output.linef("done; newest %s", newest)
	return output.err
}

// author returns the name of the user who runs the program.
func author() string {
	current, err := user.Current()
	if err != nil {
		return unknownAuthor
	}
	return current.Username
}
