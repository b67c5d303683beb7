package listener_test

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// readSettings returns the paths below a prefix that the owner of credential can read.
func readSettings(t *testing.T, s *assembler.System, credential, prefix string) []string {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Nodes[0].Address+"/v1/settings?prefix="+prefix, http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+credential)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var answer messenger.SettingsAnswer
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	paths := []string{}
	for _, e := range answer.Entries {
		paths = append(paths, e.Path)
	}
	return paths
}

// TestTeamsReadNoOtherSubtree guards against a team that reads the settings of another
// team by means of an unusual prefix.
func TestTeamsReadNoOtherSubtree(t *testing.T) {
	s := startSystem(t)
	for _, prefix := range []string{
		"", "/", "/teams", "/teams/", "/teams/ver", "/teams/ver/", "/teams/ver/models/frost", "/teams/wil/../ver/", "/teams%2fver%2f",
		"/platform/teams/", "/platform/services/", "%00", "/teams/wil/%2e%2e/ver",
	} {
		t.Run(prefix, func(t *testing.T) {
			for _, path := range readSettings(t, s, assembler.Credential("wil"), prefix) {
				assert.True(t, strings.HasPrefix(path, "/platform/models/"), path)
			}
		})
	}
	assert.Contains(t, readSettings(t, s, assembler.Credential("ver"), "/teams/"), "/teams/ver/models/frost")
	assert.Len(t, readSettings(t, s, assembler.OperatorCredential, ""), 5)
}

// TestSpecificationNamesEveryCode guards against a refusal code that the specification
// does not list.
func TestSpecificationNamesEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SPEC.md")
	require.NoError(t, err)
	source, err := os.ReadFile("refusal.go")
	require.NoError(t, err)
	codes := regexp.MustCompile(`\tCode\w+ += "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	require.NotEmpty(t, codes)
	for _, code := range codes {
		assert.Contains(t, string(page), "| `"+code[1]+"` |")
	}
}
