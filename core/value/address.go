package value

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// IP returns a parser of IP numbers without a zone.
func IP() Parser[string] {
	return Parser[string]{Type: "IP number", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddr(text)
		if err != nil || a.Zone() != "" {
			return "", merry.Errorf("%s is not an IP number", Quote(text))
		}
		return a.String(), nil
	}}
}

// AddrPort returns a parser of an IP number and a port other than 0.
func AddrPort() Parser[string] {
	return Parser[string]{Type: "IP number and port, such as `10.0.1.4:8000`", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Addr().Zone() != "" {
			return "", merry.Errorf("%s is not an IP number and a port such as 10.0.1.4:8000", Quote(text))
		}
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			return "", merry.Errorf("%s names no single address to connect to", Quote(text))
		}
		return a.String(), nil
	}}
}
