// Package ini reads INI files whose sections and settings are described by
// tables.
//
// Parse merges several files and keeps the place of each value. A Kind
// describes one kind of section: its settings with their parsers, defaults and
// help, which serve decoding, suggestions and the reference page alike. All
// that is wrong is collected in a finding.List.
package ini
