// Package settings reads the settings of a program from an INI file: its name
// and address, its ports, the address of the platform, timeouts, TLS files and
// logging. Every setting can be overridden by a flag, which is named after its
// section and setting: --platform-address for address in [platform].
package settings
