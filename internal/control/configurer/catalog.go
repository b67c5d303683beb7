package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// buildCatalog returns the catalog that the entries declare. Entries were checked
// when they were accepted; one that is invalid nevertheless is omitted.
func buildCatalog(entries []messenger.SettingEntry, revision int64) *keeper.Catalog {
	c := keeper.NewCatalog()
	c.Revision = revision
	limits := map[string]keeper.Limit{}
	for _, e := range entries {
		path, err := ParsePath(e.Path)
		if err != nil || e.Deleted {
			continue
		}
		addEntry(c, limits, path, e.Value)
	}
	for name, own := range limits {
		if team, ok := c.Teams[name]; ok {
			team.Limit = lowerLimit(team.Limit, own)
			c.Teams[name] = team
		}
	}
	return c
}

// addEntry adds the value at path to the catalog, or to limits, by team, if it is the
// limit in the subtree of a team.
func addEntry(c *keeper.Catalog, limits map[string]keeper.Limit, path Path, value json.RawMessage) {
	switch path.Kind {
	case KindModel:
		var s messenger.ModelSetting
		if json.Unmarshal(value, &s) == nil {
			name := ownedName(path.Owner, path.Name)
			c.Models[name] = keeper.Model{
				Name: name, Version: s.Version, Bytes: s.Bytes, Copies: max(1, s.Copies), MaximumCopies: s.MaximumCopies,
			}
		}
	case KindAdapter:
		var s messenger.AdapterSetting
		if json.Unmarshal(value, &s) == nil {
			model := ownedName(path.Owner, path.Model)
			c.Adapters[model] = append(c.Adapters[model], keeper.Adapter{
				Model: model, Name: path.Name, Version: s.Version, Bytes: s.Bytes,
			})
		}
	case KindService:
		var s messenger.ServiceSetting
		if json.Unmarshal(value, &s) == nil {
			c.Services[path.Name] = keeper.Service{Name: path.Name, Repeatable: s.Repeatable, Targets: s.Targets}
		}
	case KindTeam:
		var s messenger.TeamSetting
		if json.Unmarshal(value, &s) == nil {
			c.Teams[path.Name] = keeper.Team{Name: path.Name, Digest: decodeDigest(s.CredentialDigest), Limit: keeper.Limit{
				RequestsPerSecond: s.RequestsPerSecond, Burst: s.Burst, InFlight: s.InFlight,
			}}
		}
	case KindLimit:
		var s messenger.LimitSetting
		if json.Unmarshal(value, &s) == nil {
			limits[path.Owner] = keeper.Limit{RequestsPerSecond: s.RequestsPerSecond, Burst: s.Burst, InFlight: s.InFlight}
		}
	}
}

// ownedName returns the name of a model, which starts with the owner's name if a
// team owns it.
func ownedName(owner, name string) string {
	if owner == "" {
		return name
	}
	return owner + "/" + name
}

// lowerLimit returns the stricter of two limits, field by field; 0 means no limit.
func lowerLimit(a, b keeper.Limit) keeper.Limit {
	return keeper.Limit{
		RequestsPerSecond: lowerNonzero(a.RequestsPerSecond, b.RequestsPerSecond),
		Burst:             lowerNonzero(a.Burst, b.Burst),
		InFlight:          lowerNonzero(a.InFlight, b.InFlight),
	}
}

func lowerNonzero[T int | float64](a, b T) T {
	if a == 0 {
		return b
	}
	if b == 0 {
		return a
	}
	return min(a, b)
}

// decodeDigest decodes a hexadecimal SHA-256 digest. It returns the zero digest if s
// is not one.
func decodeDigest(s string) [sha256.Size]byte {
	var digest [sha256.Size]byte
	raw, err := hex.DecodeString(s)
	if err == nil && len(raw) == len(digest) {
		copy(digest[:], raw)
	}
	return digest
}

// engineAdapterName returns the name under which engines load an adapter: its name
// joined with its version.
func engineAdapterName(value json.RawMessage, name string) string {
	var s messenger.AdapterSetting
	if json.Unmarshal(value, &s) != nil {
		return ""
	}
	return keeper.Adapter{Name: name, Version: s.Version}.FullName()
}
