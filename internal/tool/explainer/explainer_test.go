package explainer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/tool/explainer"
)

const one = `   1.000 one {"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"target","target":"t1","leaving":false}
   1.000 one {"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"target","target":"t9","leaving":false}
no line of ours
   3.000 one {"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"stream cut by target","request":"r1","target":"t1","lastEvent":"7"}
   3.100 one {"time":"2026-01-01T10:00:03.1Z","level":"INFO","msg":"answer cut","request":"r1","cause":"answer lost","sent":1}
   9.000 one {"time":"2026-01-01T10:00:09Z","level":"INFO","msg":"target is gone","target":"t1"}
`

const two = `{"time":"2026-01-01T10:00:02.5Z","level":"INFO","msg":"request refused","request":"r1","status":503,"reason":"full"}
{"time":"2026-01-01T10:00:02.6Z","level":"INFO","msg":"request refused","request":"r2","status":503,"reason":"full"}
`

// TestTimelineInOrder checks that the lines of a request from several logs appear in order
// of time, with the state changes at its instances and targets and no others.
func TestTimelineInOrder(t *testing.T) {
	var out strings.Builder
	require.NoError(t, explainer.Explain(&out, "r1", strings.NewReader(one), strings.NewReader(two)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	assert.Contains(t, lines[0], `target leaving=false target="t1"`)
	assert.Contains(t, lines[1], `request refused reason="full" status=503`)
	assert.Contains(t, lines[2], "stream cut by target")
	assert.Contains(t, lines[3], `answer cut cause="answer lost"`)
	assert.True(t, strings.HasPrefix(lines[3], "*"))
}

func TestUnknownRequest(t *testing.T) {
	var out strings.Builder
	assert.ErrorIs(t, explainer.Explain(&out, "r3", strings.NewReader(one)), explainer.ErrNotFound)
}
