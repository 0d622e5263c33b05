package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// unmarshal reads the consensus library's own words.
func unmarshal(b []byte, m proto.Message) error { return proto.Unmarshal(b, m) }

// silent takes what the consensus library would log: the loop that owns a voter logs what matters to an operator. What the library can't go on
// after is a fault of this program, and ends in a panic as the library means it.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Fatal(a ...any)          { panic(fmt.Sprint(a...)) }
func (silent) Fatalf(f string, a ...any) {
	panic(fmt.Sprintf(f, a...))
}
func (silent) Panic(a ...any)            { panic(fmt.Sprint(a...)) }
func (silent) Panicf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }
