package forwarding_test

import (
	"testing"

	"acaciapath.example/core/forwarding"

	qt "github.com/frankban/quicktest"
)

func TestAdmission(t *testing.T) {
	a := forwarding.Admission{Capacity: 100, Total: 40, PerAsker: 20}
	for name, test := range map[string]struct {
		forwarded, ofAsker, own int
		want                    bool
	}{
		"idle":                      {want: true},
		"asker at its limit":        {forwarded: 20, ofAsker: 20},
		"below it":                  {forwarded: 39, ofAsker: 19, want: true},
		"total":                     {forwarded: 40, ofAsker: 0},
		"own requests leave room":   {forwarded: 30, ofAsker: 10, own: 69, want: true},
		"own requests take it":      {forwarded: 30, ofAsker: 10, own: 70},
		"own requests take it all":  {own: 100},
		"own requests beyond limit": {own: 150},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(a.Admits(test.forwarded, test.ofAsker, test.own), qt.Equals, test.want)
		})
	}
}

func TestNewAdmission(t *testing.T) {
	for name, test := range map[string]struct {
		cores               float64
		memory              int64
		callers, neighbours int
		want                forwarding.Admission
	}{
		"unknown VM":      {callers: 2560, neighbours: 700, want: forwarding.Admission{Capacity: 2560, Total: 350, PerAsker: 175}},
		"small processor": {cores: 0.4, memory: 8 << 30, callers: 2560, neighbours: 700, want: forwarding.Admission{Capacity: 2560, Total: 102, PerAsker: 51}},
		"small memory":    {cores: 8, memory: 192 << 20, callers: 2560, neighbours: 700, want: forwarding.Admission{Capacity: 2560, Total: 204, PerAsker: 102}},
		"tiny":            {cores: 0.01, memory: 1 << 20, callers: 4, neighbours: 4, want: forwarding.Admission{Capacity: 32, Total: 32, PerAsker: 16}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(forwarding.NewAdmission(test.cores, test.memory, test.callers, test.neighbours), qt.Equals, test.want)
		})
	}
}
