package supervisor

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestAddressesAreNamedAlike replays the questions of callers to all instances of a system
// with more of them than an answer holds: each is named as often as the others, so that
// callers spread over all.
func TestAddressesAreNamedAlike(t *testing.T) {
	const instances = 2 * maxLocations
	name := func(i int) string { return fmt.Sprintf("i%03d", i) }
	named := map[string]int{}
	for self := range instances {
		s := New(messenger.GatewaySettings{Instance: name(self), CallerAddress: name(self)}, Platform{}, logr.Discard())
		for i := range instances {
			s.informer.Take(messenger.GatewayNews{
				Instance: name(i), Incarnation: 1, PeerAddress: name(i), CallerAddress: name(i), Ready: true,
			})
		}
		addresses := s.locations() // without its own: it has no manifest yet
		assert.Len(t, addresses, maxLocations)
		for _, address := range addresses {
			named[address]++
		}
	}
	assert.Len(t, named, instances)
	for address, count := range named {
		assert.Equal(t, maxLocations, count, address)
	}
}
