package exchanger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// size is the size of a deployment, as far as a heartbeat depends on it.
type size struct {
	peers, models, teams, leaving int
}

// sizes are those of the present deployment, of one ten times as large, and of the
// peers in one data centre of the largest planned deployment: 790 instances in 13
// data centres, 810 models.
var sizes = []size{{4, 30, 4, 1}, {16, 270, 20, 5}, {61, 810, 60, 20}}

// heartbeatOf returns a heartbeat to the holder of the lease.
func heartbeatOf(s size) messenger.Heartbeat {
	hb := messenger.Heartbeat{
		Instance: "entry-2", Incarnation: "yxk22edybn", StartedAtMilliseconds: 1796355426619, Sequence: 1,
		Address: "10.1.2.3:8080", DataCentre: "nl-west-1", Revision: 3, StoreAgeMilliseconds: 312,
		InFlight: 118, Holder: "entry-1", Fence: 7, RosterNumber: 12, RosterAcked: 12,
		Demands: []messenger.Demand{}, Wants: []messenger.Share{}, LeavingTargets: []messenger.LeavingTarget{},
		Verdicts: []messenger.Verdict{},
	}
	for i := range s.models {
		hb.Demands = append(hb.Demands, messenger.Demand{Model: fmt.Sprintf("team-%d/model-%d", i%s.teams, i), Rate: 12.345})
	}
	for i := range s.teams {
		hb.Wants = append(hb.Wants, messenger.Share{Team: fmt.Sprintf("team-%d", i), Part: 0.25})
	}
	for i := range s.leaving {
		hb.LeavingTargets = append(hb.LeavingTargets, messenger.LeavingTarget{
			Target: fmt.Sprintf("engine-%d", i), Incarnation: "yxk22edybn", Address: "10.1.2.3:8080",
		})
	}
	return hb
}

func answerOf(s size) messenger.HeartbeatAnswer {
	answer := messenger.HeartbeatAnswer{Heartbeat: heartbeatOf(s), Rosters: []messenger.Roster{}}
	answer.Heartbeat.Demands = []messenger.Demand{}
	answer.Loans = answer.Heartbeat.Wants
	for i := range s.peers - 1 {
		answer.Peers = append(answer.Peers, messenger.PeerNews{
			Instance: fmt.Sprintf("entry-%d", i+10), Incarnation: "yxk22edybn", StartedAtMilliseconds: 1796355426619,
			Address: "10.1.2.3:8080", DataCentre: "nl-west-1", AgeMilliseconds: 120, NamedMilliseconds: 9_000,
		})
	}
	return answer
}

func bytesOf(b *testing.B, v any) []byte {
	b.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// BenchmarkHeartbeat measures the bytes of heartbeats and the time to encode, decode
// and apply them. NodeBytes/s is the traffic that one instance sends and receives in
// a full mesh, without the demands that go to the holder of the lease: both ends
// start an exchange twice a second.
func BenchmarkHeartbeat(b *testing.B) {
	const exchangesPerSecond, startedByBoth = 2, 2
	for _, s := range sizes {
		hb := heartbeatOf(s)
		toHolder := bytesOf(b, hb)
		plain := hb
		plain.Demands = []messenger.Demand{}
		request, answer := bytesOf(b, plain), bytesOf(b, answerOf(s))
		name := fmt.Sprintf("peers=%d,models=%d,teams=%d", s.peers, s.models, s.teams)
		b.Run("encode/"+name, func(b *testing.B) {
			for b.Loop() {
				bytesOf(b, hb)
			}
			b.ReportMetric(float64(len(toHolder)), "toHolderBytes")
			b.ReportMetric(float64(len(request)), "requestBytes")
			b.ReportMetric(float64(len(answer)), "answerBytes")
			b.ReportMetric(float64((len(request)+len(answer))*(s.peers-1)*exchangesPerSecond*startedByBoth), "NodeBytes/s")
		})
		b.Run("decode/"+name, func(b *testing.B) {
			for b.Loop() {
				var got messenger.Heartbeat
				if err := json.Unmarshal(toHolder, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("apply/"+name, func(b *testing.B) {
			x, _ := newExchanger()
			x.now = time.Now
			reports := answerOf(s).Peers
			for b.Loop() {
				hb.Sequence++
				if !x.ApplyHeartbeat(hb) {
					b.Fatal("heartbeat did not count")
				}
				x.applyPeerReports(x.now(), reports)
			}
		})
	}
}
