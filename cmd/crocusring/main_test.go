package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
)

// assertRun runs a command and checks its exit code and that its output contains part.
// It returns the output.
func assertRun(t *testing.T, code int, part string, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	assert.Equal(t, code, run(args, &out), "%v: %s", args, out.String())
	assert.Contains(t, out.String(), part, "%v", args)
	return out.String()
}

// writeDeclarations writes declarations to a temporary file and returns its name.
func writeDeclarations(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "declarations.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestCommandsWithoutInstance(t *testing.T) {
	t.Setenv("CROCUSRING_ADDRESS", "")
	assertRun(t, exitOK, "crocusring", "version")
	assertRun(t, exitUsage, "", "frobnicate")
	assertRun(t, exitUsage, "")
	assertRun(t, exitOK, "valid", "check", "../../examples/verein/entry-1.json", "../../examples/wilgenrand/entry-4.json")
	assertRun(t, exitOK, "valid", "check", "--declarations", "../../examples/verein/declarations")
	assertRun(t, exitInvalid, "", "check", writeDeclarations(t, `{"Listen": 1}`))
	assertRun(t, exitInvalid, "", "check", "--declarations", writeDeclarations(t, `{"/platform/models/oak": {}}`))
	assertRun(t, exitFailed, "", "check", "none.json")
	assertRun(t, exitFailed, "", "diff", writeDeclarations(t, `{}`))
	assertRun(t, exitFailed, "", "diff", "--address", "127.0.0.1:1", writeDeclarations(t, `{}`))
}

// TestCommands configures a running system of test doubles through declarations.
func TestCommands(t *testing.T) {
	system, err := assembler.New(assembler.WithEngines(1), assembler.WithNodes(3))
	require.NoError(t, err)
	defer system.Close()
	t.Setenv("CROCUSRING_ADDRESS", system.Nodes[0].Address)
	t.Setenv(credentialVariable, assembler.OperatorCredential)
	const folder = "../../examples/verein/declarations"
	require.Eventually(t, func() bool {
		var out bytes.Buffer
		return run([]string{"apply", folder}, &out) == exitOK && strings.Contains(out.String(), "accepted as revision")
	}, 10*time.Second, 100*time.Millisecond)

	t.Run("a second apply changes nothing and says so", func(t *testing.T) {
		assertRun(t, exitOK, "nothing to change at revision 1", "apply", folder)
		assertRun(t, exitOK, "no differences at revision 1", "diff", folder)
	})
	t.Run("what get prints is in force", func(t *testing.T) {
		file := writeDeclarations(t, assertRun(t, exitOK, "/platform/models/roster", "get"))
		assertRun(t, exitOK, "nothing to change", "apply", "--prune", file)
	})
	t.Run("diff shows what apply changes", func(t *testing.T) {
		file := writeDeclarations(t, `{"/platform/models/roster": {"Version": "2025.12", "Bytes": 15032385536, "Copies": 2, "MaximumCopies": 0}}`)
		assertRun(t, exitDiffers, "~ /platform/models/roster\n    Version: \"2025.11\" -> \"2025.12\"\n", "diff", file)
		assertRun(t, exitOK, "1 changes accepted as revision 2", "apply", file)
		assertRun(t, exitOK, "no differences", "diff", file)
	})
	t.Run("prune is refused while a model has adapters", func(t *testing.T) {
		text := assertRun(t, exitOK, "", "get", "/platform/adapters")
		assertRun(t, exitRefused, "- /platform/models/roster", "apply", "--prune", writeDeclarations(t, text))
		assertRun(t, exitOK, "/platform/models/roster", "get", "/platform/models")
	})
	t.Run("prune deletes what is not declared", func(t *testing.T) {
		assertRun(t, exitOK, "accepted as revision 3", "apply", "--prune", writeDeclarations(t, `{}`))
		assertRun(t, exitOK, "{}", "get")
	})
	t.Run("state", func(t *testing.T) {
		assertRun(t, exitOK, system.Nodes[0].Address, "locate")
		assertRun(t, exitOK, `"Revision": 3`, "status")
	})
	t.Run("a wrong credential", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "credential")
		require.NoError(t, os.WriteFile(file, []byte("wrong\n"), 0o600))
		assertRun(t, exitRefused, "", "apply", "--credential-file", file, folder)
		assertRun(t, exitOK, "{}", "get")
	})
}
