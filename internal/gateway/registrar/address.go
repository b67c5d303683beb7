package registrar

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/go-faster/errors"
)

// ErrNoAddress reports a text that is no address.
var ErrNoAddress = errors.New("no address")

// CheckAddress returns ErrNoAddress unless an address is a host and a port that exists.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(ErrNoAddress, err.Error())
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || !isHost(host) {
		return errors.Wrapf(ErrNoAddress, "%q", address)
	}
	return nil
}

// hostName matches the names of hosts, but for the lengths of their labels.
var hostName = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_.-]{0,251}[A-Za-z0-9_.])?$`)

// isHost reports whether a text is an IP address without a zone, or may be the name of a host. A
// path, a query or a user, which would become part of the URL of a call, is neither.
func isHost(text string) bool {
	if address, err := netip.ParseAddr(text); err == nil {
		return address.Zone() == ""
	}
	return hostName.MatchString(text)
}
