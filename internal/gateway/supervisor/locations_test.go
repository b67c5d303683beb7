package supervisor

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestLocationsAreBalanced guards against locators that favour some instances when there
// are more than one answer can hold: over all locators each must be returned equally
// often, so that callers are spread over all.
func TestLocationsAreBalanced(t *testing.T) {
	const instances = 2 * maxLocations
	name := func(i int) string { return fmt.Sprintf("i%03d", i) }
	counts := map[string]int{}
	for self := range instances {
		s := New(messenger.GatewaySettings{Instance: name(self), CallerAddress: name(self)}, Platform{}, logr.Discard())
		for i := range instances {
			s.informer.ReceiveStatus(messenger.GatewayNews{
				Instance: name(i), Incarnation: 1, PeerAddress: name(i), CallerAddress: name(i), Ready: true,
			})
		}
		addresses := s.locations() // without its own address: it has no manifest yet
		assert.Len(t, addresses, maxLocations)
		for _, address := range addresses {
			counts[address]++
		}
	}
	assert.Len(t, counts, instances)
	for address, count := range counts {
		assert.Equal(t, maxLocations, count, address)
	}
}
