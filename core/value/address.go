package value

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// IP returns a parser of IP addresses without a zone.
func IP() Parser[string] {
	return Parser[string]{Type: "IP address", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddr(text)
		if err != nil || a.Zone() != "" {
			return "", merry.Errorf("%s is not an IP address", Quote(text))
		}
		return a.String(), nil
	}}
}

// AddrPort returns a parser of an IP address and a port. It rejects what cannot
// be connected to: port 0 and unspecified addresses such as 0.0.0.0.
func AddrPort() Parser[string] {
	return Parser[string]{Type: "IP address and port, such as `10.0.1.4:8000`", Parse: func(text string) (string, error) {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Addr().Zone() != "" {
			return "", merry.Errorf("%s is not an IP address and a port such as 10.0.1.4:8000", Quote(text))
		}
		if a.Port() == 0 || a.Addr().IsUnspecified() {
			return "", merry.Errorf("%s cannot be connected to: the address is unspecified or the port is 0", Quote(text))
		}
		return a.String(), nil
	}}
}
