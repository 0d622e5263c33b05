package release

import (
	"errors"
	"fmt"
	"testing"
)

func TestMembers_RegisterEjectReadmit(t *testing.T) {
	log := newBootstrappedLog(1) // n0 is registered for incarnation 1
	for i, step := range []struct {
		command Command
		want    error
	}{
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 2}, ErrNameTaken},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 2, Previous: 1}, nil},
		{Command{Kind: KindEject, Name: "n0", Incarnation: 1, Reason: "late"}, ErrUnknownName},
		{Command{Kind: KindEject, Name: "n0", Incarnation: 2, Reason: "late"}, nil},
		// the ejection of incarnation 2 does not apply to incarnation 3
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 3, Previous: 2}, nil},
		{Command{Kind: KindReadmit, Name: "n0"}, ErrUnknownName},
		{Command{Kind: KindEject, Name: "n0", Reason: "by an operator"}, nil},
		// an operator's ejection applies to every incarnation
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 4, Previous: 3}, nil},
		{Command{Kind: KindReadmit, Name: "n0"}, nil},
		{Command{Kind: KindUnregister, Name: "n0", Incarnation: 3}, ErrUnknownName},
		{Command{Kind: KindUnregister, Name: "n0", Incarnation: 4}, nil},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 1}, nil},
	} {
		if err := log.Apply(&step.command); !errors.Is(err, step.want) {
			t.Fatalf("step %d, %+v: error %v, want %v", i, step.command, err, step.want)
		}
	}
}

func TestMembers_LimitedToMaxNames(t *testing.T) {
	log := newBootstrappedLog(1)
	for i := range maxNames + 10 {
		_ = log.Apply(&Command{Kind: KindRegister, Name: fmt.Sprint("m", i), Incarnation: 1})
	}
	if len(log.Members) != maxNames {
		t.Errorf("%d names are registered, want %d", len(log.Members), maxNames)
	}
}
