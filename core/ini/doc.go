// Package ini reads INI files whose sections and settings are declared in
// tables.
//
// Parse merges several files and records the position of each value. A
// SectionKind declares one kind of section: its settings with their parsers,
// defaults and help. Decoding, suggestions for misspelled names and the
// reference page all use this declaration. Problems are collected in a
// finding.List.
package ini
