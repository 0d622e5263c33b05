package replica

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/judge/stance"
	state "swiftcourse/internal/replica"
)

// register is what claims of one key are to look like from outside: a register that one claim at a time may take, that may be given back unused, and
// that keeps its first result.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) (byKey [][]porcupine.Operation) {
		at := map[state.Key]int{}
		for _, op := range history {
			k := op.Input.(claimed).key
			i, seen := at[k]
			if !seen {
				i = len(byKey)
				at[k] = i
				byKey = append(byKey, nil)
			}
			byKey[i] = append(byKey[i], op)
		}
		return byKey
	},
	Init: func() any { return "" },
	Step: func(holds, input, output any) (bool, any) {
		in, out := input.(claimed), output.(Told)
		switch {
		case in.gives:
			return holds == in.id, ""
		case out.Ruling == stance.ClaimGranted:
			return holds == "", in.id
		case out.Ruling == stance.ClaimCached:
			return string(out.Result) == "result of "+holds.(string), holds
		}
		return true, holds // told that nobody can tell
	},
	Equal: func(a, b any) bool { return a == b },
}

// claimed is a claim, or that one is given back.
type claimed struct {
	key   state.Key
	id    string
	gives bool
}

// TestHistoriesOfClaimsAreThoseOfARegister checks what was recorded, with a library, for an order in which it could have happened one by one.
func TestHistoriesOfClaimsAreThoseOfARegister(t *testing.T) {
	operations := 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, rapid.Uint64().Draw(t, "seed"))
		operations += len(w.history)
		if !porcupine.CheckOperations(register, w.history) {
			t.Fatalf("no order of these claims explains what was told")
		}
	})
	if operations < 5000 {
		t.Errorf("%d operations: too few to show anything", operations)
	}
	taken := func(key byte, id string, ruling stance.ClaimVerdict, at int64) porcupine.Operation {
		return porcupine.Operation{Input: claimed{key: state.Key{key}, id: id}, Call: at, Output: Told{Ruling: ruling}, Return: at + 1}
	}
	if porcupine.CheckOperations(register, []porcupine.Operation{taken(1, "a", stance.ClaimGranted, 1), taken(1, "b", stance.ClaimGranted, 3)}) {
		t.Error("two runs of one key pass")
	}
}
