package soaker

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLogOfAnInstanceIsQuoted guards against a soak that ends before it begins and does not say why.
func TestLogOfAnInstanceIsQuoted(t *testing.T) {
	p := &process{name: "i1", logDirectory: t.TempDir()}
	assert.Contains(t, p.lastLines(), "no such file")
	require.NoError(t, os.WriteFile(filepath.Join(p.logDirectory, "i1.log"), append(make([]byte, maxLastLines), "the end"...), 0o600))
	assert.Len(t, p.lastLines(), maxLastLines)
	assert.Contains(t, p.lastLines(), "the end")
}
