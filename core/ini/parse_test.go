package ini_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

func TestParseKeepsPlaces(t *testing.T) {
	c := qt.New(t)
	var findings finding.List
	sections := ini.Parse([]ini.File{
		{Name: "b.ini", Text: "[route  orders ] ; again\r\npath = \"/a # b\"\r\n"},
		{Name: "a.ini", Text: "\ufeff# heading\n\n[route orders]\npath = /a\n  text=a=b # comment\n[DEFAULT]\nx = %(y)s\n"},
	}, &findings)
	c.Assert(findings.Findings, qt.HasLen, 0)
	c.Assert(sections, qt.DeepEquals, []*ini.Section{{
		Kind: "route", Name: "orders", Place: ini.Place{File: "a.ini", Line: 3},
		Values: []ini.Value{
			{Setting: "path", Text: "/a # b", Place: ini.Place{File: "b.ini", Line: 2}},
			{Setting: "text", Text: "a=b", Place: ini.Place{File: "a.ini", Line: 5}},
		},
	}, {
		Kind: "DEFAULT", Place: ini.Place{File: "a.ini", Line: 6},
		Values: []ini.Value{{Setting: "x", Text: "%(y)s", Place: ini.Place{File: "a.ini", Line: 7}}},
	}})
}

func TestParseBoundsSettings(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	text.WriteString("[limits]\n")
	for i := range 200 {
		fmt.Fprintf(&text, "x%d = 1\n", i)
	}
	var findings finding.List
	sections := ini.Parse([]ini.File{{Name: "a.ini", Text: text.String()}}, &findings)
	c.Assert(findings.Error(), qt.Equals, "a.ini:102: [limits] the section holds more than 100 settings (syntax)")
	c.Assert(sections[0].Values, qt.HasLen, 100)
}

func TestNearest(t *testing.T) {
	c := qt.New(t)
	known := map[string]int{"max-wait": 0, "tier": 0, "queue-limit": 0, "bat": 0, "cat": 0}
	for _, test := range []struct {
		name, want string
	}{
		{name: "max-wiat", want: "max-wait"},
		{name: "teir", want: "tier"},
		{name: "tir", want: "tier"},
		{name: "queue_limits", want: "queue-limit"},
		{name: "hat", want: "bat"},
		{name: "price", want: ""},
	} {
		c.Run(test.name, func(c *qt.C) {
			got, ok := ini.Nearest(test.name, known)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(ok, qt.Equals, test.want != "")
		})
	}
}
