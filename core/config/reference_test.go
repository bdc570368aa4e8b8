package config_test

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"acaciapath.example/core/config"
	"acaciapath.example/core/ini"
	"acaciapath.example/core/settings"
)

const referenceHead = `# Configuration

This page is generated from the tables that the programs use:
` + "`go test ./core/config -run TestReference -update`" + `.

All files are INI in UTF-8. A setting is a line ` + "`name = value`" + `, a comment starts with
` + "`#` or `;`" + `, at the start of a line or after a space, and a value with such a
character must be in double quotes. A value must be on one line. Durations, sizes,
prices and percentages need a unit. Findings of kind syntax, unknown,
missing, duplicate, value and reference are reported together, each with its
file, line, section and setting.

## The configuration folder

Operators keep a folder of files with the extension .ini, of at most 64MiB each,
and store it with ` + "`acaciapath apply`" + `. The files are merged in the order of their
names: if several files contain the same section, a setting of a later file
replaces that of an earlier one. Within one file, a section or setting may occur
only once. Other files in the folder are ignored; symbolic links that leave it are
rejected.

`

const settingsHead = `## Settings of the programs

Each program reads one file, named by ` + "`--settings`" + `. Every setting can be overridden by
a flag named after its section and setting, such as ` + "`--platform-address`" + ` for
` + "`address` in `[platform]`" + `. Required settings are required for daemons; the command-line
tool requires only the platform's address. It uses ` + "`[platform]`, `[tls]`" + ` and ` + "`[log]`" + `; the
other sections are checked but have no effect on it.

`

func TestReference(t *testing.T) {
	var page strings.Builder
	page.WriteString(referenceHead)
	writeSections(&page, config.Reference())
	page.WriteString("\n" + settingsHead)
	writeSections(&page, settings.Reference())
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "CONFIGURATION", []byte(page.String()))
}

func writeSections(page *strings.Builder, descriptions []ini.SectionDescription) {
	for i, d := range descriptions {
		if i > 0 {
			page.WriteString("\n")
		}
		page.WriteString(d.Markdown())
	}
}
