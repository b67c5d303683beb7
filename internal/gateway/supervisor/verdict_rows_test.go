package supervisor

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/archivist"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestVerdictOutlastsItsExaminer guards against a request that ends targets and is forgotten when all instances are lost:
// the instance that had reached the verdict ended before its row was written, or before the store lost it, and those that
// had heard of it did not write it.
func TestVerdictOutlastsItsExaminer(t *testing.T) {
	written := []messenger.Write{}
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{
		Read:  func(string) (messenger.TableSnapshot, error) { return messenger.TableSnapshot{Version: 1}, nil },
		Clock: func() (int64, int64, bool) { return 1000, 1001, true },
		Transact: func(req messenger.TransactRequest) (messenger.StoreVersion, error) {
			written = append(written, req.Writes...)
			return messenger.StoreVersion{Number: 2}, nil
		},
	}, logr.Discard())
	now := time.Now()
	trait := quarantiner.ContentTrait(quarantiner.FingerprintOf([]byte("bad")))
	s.mergeVerdicts(s.encodeVerdicts([]quarantiner.Verdict{quarantiner.Restored(now, trait, nil, now.Add(time.Minute))}).Verdicts)
	require.Len(t, s.quarantiner.Shared(now), 1, "heard of")
	s.sweepVerdicts()
	require.Len(t, written, 1)
	assert.Equal(t, archivist.KeyOf(trait), written[0].Key)
	assert.NotEmpty(t, written[0].Value)
}
