package ini_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"acaciapath.example/core/finding"
	"acaciapath.example/core/ini"
)

func TestParseRecordsPositions(t *testing.T) {
	c := qt.New(t)
	var findings finding.List
	sections := ini.Parse([]ini.File{
		{Name: "b.ini", Text: "[route  orders ] ; again\r\npath = \"/a # b\"\r\n"},
		{Name: "a.ini", Text: "\ufeff# heading\n\n[route orders]\npath = /a\n  text=a=b # comment\n[DEFAULT]\nx = %(y)s\n"},
	}, &findings)
	c.Assert(findings.Findings, qt.HasLen, 0)
	c.Assert(sections, qt.DeepEquals, []*ini.Section{{
		Kind: "route", Name: "orders", Position: ini.Position{File: "a.ini", Line: 3},
		Values: []ini.Value{
			{Setting: "path", Text: "/a # b", Position: ini.Position{File: "b.ini", Line: 2}},
			{Setting: "text", Text: "a=b", Position: ini.Position{File: "a.ini", Line: 5}},
		},
	}, {
		Kind: "DEFAULT", Position: ini.Position{File: "a.ini", Line: 6},
		Values: []ini.Value{{Setting: "x", Text: "%(y)s", Position: ini.Position{File: "a.ini", Line: 7}}},
	}})
}

func TestParseLimitsSettingsPerSection(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	text.WriteString("[limits]\n")
	for i := range 200 {
		fmt.Fprintf(&text, "x%d = 1\n", i)
	}
	var findings finding.List
	sections := ini.Parse([]ini.File{{Name: "a.ini", Text: text.String()}}, &findings)
	c.Assert(findings.Error(), qt.Equals, "a.ini:102: [limits] the section contains more than 100 settings (syntax)")
	c.Assert(sections[0].Values, qt.HasLen, 100)
}
