package lease_test

import (
	"encoding/json"

	"acaciapath.example/core/lease"

	"github.com/anishathalye/porcupine"
)

// inputKind is the kind of an operation in a history.
type inputKind int

const (
	inputRead inputKind = iota
	inputWrite
	inputSend
)

// tableInput is an operation on the lease row, or a send under the lease as its
// receiver sees it.
type tableInput struct {
	kind    inputKind
	holder  string
	fence   uint64
	version uint64 // required by a write
}

// tableOutput is the result of an operation.
type tableOutput struct {
	unknown     bool // nothing was answered
	unavailable bool // answered that the service is down
	conflict    bool
	version     uint64
	holder      string
}

// rowState is the lease row of the model.
type rowState struct {
	version uint64
	holder  string
	fence   uint64
}

func inputOf(request lease.Request) tableInput {
	if request.Kind == lease.Read {
		return tableInput{kind: inputRead}
	}
	var row lease.Row
	if err := json.Unmarshal(request.Commit.Writes[0].Value, &row); err != nil {
		panic(err)
	}
	return tableInput{
		kind: inputWrite, holder: row.Holder, fence: row.Fence,
		version: conditionOf(request),
	}
}

func conditionOf(request lease.Request) uint64 {
	for _, condition := range request.Commit.Conditions {
		if condition.Key == lease.RowKey(name) {
			return condition.Version
		}
	}
	return 0
}

func outputOf(f *inFlight) tableOutput {
	if f.err != nil {
		return tableOutput{conflict: true}
	}
	for _, row := range f.rows {
		if row.Key == lease.RowKey(name) {
			parsed, err := lease.ParseRow(row.Value)
			if err != nil {
				panic(err)
			}
			return tableOutput{version: row.Version, holder: parsed.Holder}
		}
	}
	return tableOutput{}
}

// leaseModel models a versioned row. A send is legal only if the row names its
// sender as the holder.
var leaseModel = (&porcupine.NondeterministicModel{
	Init: func() []interface{} { return []interface{}{rowState{}} },
	Step: func(state, input, output interface{}) []interface{} {
		return stepRow(state.(rowState), input.(tableInput), output.(tableOutput))
	},
}).ToModel()

func stepRow(s rowState, in tableInput, out tableOutput) []interface{} {
	same := []interface{}{s}
	switch in.kind {
	case inputRead:
		if out.unavailable || (out.version == s.version && out.holder == s.holder) {
			return same
		}
		return nil
	case inputSend:
		if s.holder == in.holder && s.fence == in.fence {
			return same
		}
		return nil
	}
	written := rowState{version: s.version + 1, holder: in.holder, fence: in.fence}
	applies := s.version == in.version
	switch {
	case out.unavailable:
		return same
	case out.unknown && applies:
		return []interface{}{s, written}
	case out.unknown:
		return same
	case out.conflict && !applies:
		return same
	case !out.conflict && applies && out.version == written.version:
		return []interface{}{written}
	}
	return nil
}
