package informer

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestUnreachableAddressDelaysNobody guards against an address of a stopped instance that
// does not answer: it must not delay the next status to the others.
func TestUnreachableAddressDelaysNobody(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	send := func(string, messenger.GatewayNews, time.Time) (messenger.GatewayNews, error) {
		<-release
		return messenger.GatewayNews{}, errUnreachable
	}
	status := func(Recipient) messenger.GatewayNews { return messenger.GatewayNews{Instance: "a", PeerAddress: "a"} }
	i := New("a", "", Callbacks{Status: status, Send: send, OnReceive: func(messenger.GatewayNews, time.Time) {}}, logr.Discard())
	i.AddAddress("stopped")
	began := time.Now()
	i.SendStatus()
	assert.Less(t, time.Since(began), sendTimeout)
}
