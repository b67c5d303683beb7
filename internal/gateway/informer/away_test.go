package informer

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestAddressThatDoesNotAnswerDelaysNobody replays the address of an instance that is
// gone: the next news to the others are not kept back by it.
func TestAddressThatDoesNotAnswerDelaysNobody(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	send := func(string, messenger.GatewayNews, time.Time) (messenger.GatewayNews, error) {
		<-release
		return messenger.GatewayNews{}, errAway
	}
	news := func(Audience) messenger.GatewayNews { return messenger.GatewayNews{Instance: "a", PeerAddress: "a"} }
	i := New("a", "", Calls{News: news, Send: send, Heard: func(messenger.GatewayNews, time.Time) {}}, logr.Discard())
	i.AddAddress("gone")
	began := time.Now()
	i.Tell()
	assert.Less(t, time.Since(began), sendTimeout)
}
