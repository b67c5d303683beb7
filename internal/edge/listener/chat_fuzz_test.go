package listener

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func FuzzParseChat(f *testing.F) {
	for _, body := range []string{
		`{"model":"oak","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"oak","MODEL":"elm","messages":[1]}`, `{"model":1}`, `{"messages":[]}`, `[]`, `{"model":"oak:a@v","messages":[{}]}`,
	} {
		f.Add([]byte(body))
	}
	tree := configurer.NewTree()
	tree.Merge(messenger.SettingsSince{Revision: 1, Entries: []messenger.SettingEntry{{
		Path: "/platform/models/oak", Revision: 1,
		Value: json.RawMessage(`{"Version":"v1","Bytes":1,"Copies":1,"MaximumCopies":0}`),
	}}})
	l := &Listener{Config: Config{Fleet: keeper.NewFleet(), Tree: tree}}
	_, err := l.parseChat("wil", []byte(`{"model":"oak","messages":[1]}`))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := l.parseChat("wil", body)
		if err != nil {
			status, refusal := refusalFor(err, time.Now())
			assert.True(t, status == 400 || status == 404)
			assert.True(t, refusal.NotRun)
			return
		}
		var sent map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(c.body, &sent))
		assert.JSONEq(t, `"oak@v1"`, string(sent["model"]))
	})
}
