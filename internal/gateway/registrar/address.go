package registrar

import (
	"net"
	"strconv"

	"github.com/go-faster/errors"
)

// ErrNoAddress reports a text that is no address.
var ErrNoAddress = errors.New("no address")

// CheckAddress returns ErrNoAddress unless an address has a host and a port that exists.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(ErrNoAddress, err.Error())
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Wrapf(ErrNoAddress, "%q", address)
	}
	return nil
}
