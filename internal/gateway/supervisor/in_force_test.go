package supervisor

import (
	"strconv"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// decodeTestManifest decodes a manifest that is only a version.
func decodeTestManifest(value []byte) (*registrar.Manifest, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return &registrar.Manifest{Version: version}, err
}

// TestManifestsOfPeersAreReadFromFew guards against a start that reads the manifest from one peer after another, each
// of which may not answer.
func TestManifestsOfPeersAreReadFromFew(t *testing.T) {
	peers := []informer.Peer{}
	for _, version := range []int64{4, 9, 0, 7} {
		peers = append(peers, informer.Peer{LastStatus: messenger.GatewayNews{InForceManifest: version}})
	}
	newest := newestFirst(peers, 2)
	require.Len(t, newest, 2)
	assert.Equal(t, []int64{9, 7}, []int64{newest[0].InForceManifest, newest[1].InForceManifest})
	assert.Empty(t, newestFirst(nil, 2))
}

// TestManifestInForceIsKept guards against a manifest of the store's copy that replaces a later one, and against a
// later one that does not get through.
func TestManifestInForceIsKept(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeManifest: decodeTestManifest, ManifestKey: "config"}, logr.Discard())
	row := func(epoch int64, value string) messenger.StoreRow {
		return messenger.StoreRow{Key: "config", Epoch: epoch, Version: 10 - epoch, Value: []byte(value)}
	}
	for _, c := range []struct {
		name        string
		known, next messenger.StoreRow
		isUnknown   bool
		value       string
	}{
		{name: "the copy is older", known: row(1, "7"), next: row(2, "5"), value: "7"},
		{name: "the copy has the same", known: row(1, "7"), next: row(2, "7"), value: "7"},
		{name: "the operator was faster", known: row(1, "7"), next: row(2, "8"), value: "8"},
		{name: "the copy cannot be decoded", known: row(1, "7"), next: row(2, "x"), value: "7"},
		{name: "one of the same epoch cannot be decoded", known: row(2, "7"), next: row(2, "x"), value: "x"},
		{name: "the known one cannot be decoded", known: row(1, "x"), next: row(2, "5"), value: "5"},
		{name: "none is known", isUnknown: true, next: row(2, "5"), value: "5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, isInForce := s.resolveManifest(c.known, !c.isUnknown, c.next)
			assert.True(t, isInForce)
			assert.Equal(t, c.value, string(got.Value))
			assert.Equal(t, c.next.StoreVersion(), got.StoreVersion())
		})
	}
}

// TestEarlierCopyOfAPeerBringsOnlyALaterManifest guards against a value in an earlier copy of a peer that replaces a
// later one, though it cannot be decoded or is of another row.
func TestEarlierCopyOfAPeerBringsOnlyALaterManifest(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeManifest: decodeTestManifest, ManifestKey: "config"}, logr.Discard())
	row := func(key string, version int64, value string) messenger.StoreRow {
		return messenger.StoreRow{Key: key, Epoch: 2, Version: version, Value: []byte(value)}
	}
	for name, c := range map[string]struct{ key, value, want string }{
		"cannot be decoded": {"config", "x", "7"},
		"an older manifest": {"config", "6", "7"},
		"a later manifest":  {"config", "8", "8"},
		"another row":       {"other", "8", "7"},
	} {
		t.Run(name, func(t *testing.T) {
			got, isInForce := s.resolveManifest(row(c.key, 9, "7"), true, row(c.key, 5, c.value))
			assert.True(t, isInForce)
			assert.Equal(t, c.want, string(got.Value))
		})
	}
}

// TestNewInstanceWaitsForPeersWithoutRows guards against a manifest of the store's copy that is put into force by an
// instance which starts after the rows of all others were lost.
func TestNewInstanceWaitsForPeersWithoutRows(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{
		Read: func(string) (messenger.TableSnapshot, error) { return messenger.TableSnapshot{Version: 1}, nil },
	}, logr.Discard())
	require.True(t, s.instances.Step())
	assert.False(t, s.mayHearPeers(), "it is alone")
	s.epochs.current.Store(1)
	assert.True(t, s.mayHearPeers(), "their rows may be lost")
}
