package runner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// BenchmarkSettingsReads reports how often all instances together read the revision
// from the table service while nothing changes.
func BenchmarkSettingsReads(b *testing.B) {
	const period = 4 * time.Second
	for _, instances := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(instances, " instances"), func(b *testing.B) {
			s, err := assembler.New(assembler.WithEngines(0), assembler.WithServices(0), assembler.WithNodes(instances))
			require.NoError(b, err)
			defer s.Close()
			require.Eventually(b, func() bool {
				_, err := s.Change(s.Nodes[0].Address, messenger.SettingChange{
					Path: "/platform/models/oak", Value: json.RawMessage(`{"Version":"v1","Bytes":1,"Copies":1,"MaximumCopies":0}`),
				})
				return err == nil
			}, 10*time.Second, 50*time.Millisecond)
			time.Sleep(time.Second)
			before := s.Platform.Scans("settings-revision")
			for b.Loop() {
				time.Sleep(period)
			}
			reads := float64(s.Platform.Scans("settings-revision") - before)
			b.ReportMetric(reads/(period.Seconds()*float64(b.N)), "reads/s")
		})
	}
}
