package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/inspector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrBadValue means that a value is not valid at its path, or that a request is
// malformed.
var ErrBadValue = errors.New("invalid settings value")

const (
	maxModelBytes = 1 << 44
	maxValueBytes = 64 << 10
	maxChanges    = 1000 // in one request
	maxCopies     = 100_000
	maxLimitValue = 1e9
)

var operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Check validates a change request of an operator. The error is ErrBadPath,
// ErrForbidden or ErrBadValue.
func Check(operator Operator, req messenger.ChangeRequest) error {
	if n := len(req.Changes); n == 0 || n > maxChanges {
		return errors.Wrapf(ErrBadValue, "%d changes", n)
	}
	if !operationIDPattern.MatchString(req.OperationID) {
		return errors.Wrapf(ErrBadValue, "operation ID %.40q", req.OperationID)
	}
	seen := map[string]bool{}
	for _, change := range req.Changes {
		path, err := ParsePath(change.Path)
		if err != nil {
			return err
		}
		if !operator.MayChange(path) {
			return errors.Wrap(ErrForbidden, change.Path)
		}
		if seen[change.Path] {
			return errors.Wrapf(ErrBadValue, "%s is changed twice", change.Path)
		}
		seen[change.Path] = true
		if change.Delete {
			continue
		}
		if err := CheckValue(path, change.Value); err != nil {
			return errors.Wrap(err, change.Path)
		}
	}
	return nil
}

// ValueType returns the type of the values of a kind.
func ValueType(kind Kind) reflect.Type {
	switch kind {
	case KindModel:
		return reflect.TypeFor[messenger.ModelSetting]()
	case KindAdapter:
		return reflect.TypeFor[messenger.AdapterSetting]()
	case KindService:
		return reflect.TypeFor[messenger.ServiceSetting]()
	case KindTeam:
		return reflect.TypeFor[messenger.TeamSetting]()
	default:
		return reflect.TypeFor[messenger.LimitSetting]()
	}
}

func decodeStrict(value json.RawMessage, out any) error {
	if len(value) > maxValueBytes {
		return errors.Wrapf(ErrBadValue, "%d bytes", len(value))
	}
	if err := inspector.Decode(value, out); err != nil {
		return errors.Wrap(ErrBadValue, err.Error())
	}
	return nil
}

// CheckValue validates a value at a path. The error is ErrBadValue.
func CheckValue(path Path, value json.RawMessage) error {
	out := reflect.New(ValueType(path.Kind))
	if err := decodeStrict(value, out.Interface()); err != nil {
		return err
	}
	switch s := out.Interface().(type) {
	case *messenger.ModelSetting:
		return checkModel(*s)
	case *messenger.AdapterSetting:
		return firstError(checkVersion(s.Version), checkBytes(s.Bytes))
	case *messenger.ServiceSetting:
		return checkTargets(s.Targets)
	case *messenger.TeamSetting:
		return firstError(checkDigest(s.CredentialDigest), checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight))
	case *messenger.LimitSetting:
		return checkLimit(s.RequestsPerSecond, s.Burst, s.InFlight)
	}
	return errors.Wrapf(ErrBadValue, "kind %q", path.Kind)
}

func checkModel(s messenger.ModelSetting) error {
	isInRange := s.Copies >= 0 && s.Copies <= maxCopies && s.MaximumCopies >= 0 && s.MaximumCopies <= maxCopies
	if !isInRange || (s.MaximumCopies > 0 && s.MaximumCopies < s.Copies) {
		return errors.Wrap(ErrBadValue, "Copies and MaximumCopies must be 0 or more, and MaximumCopies 0 or at least Copies")
	}
	return firstError(checkVersion(s.Version), checkBytes(s.Bytes))
}

func checkVersion(version string) error {
	if !segmentPattern.MatchString(version) || len(version) > maxSegmentBytes {
		return errors.Wrapf(ErrBadValue, "Version %.40q", version)
	}
	return nil
}

func checkBytes(n int64) error {
	if n <= 0 || n > maxModelBytes {
		return errors.Wrapf(ErrBadValue, "Bytes %d", n)
	}
	return nil
}

func checkTargets(targets []string) error {
	seen := map[string]bool{}
	for _, target := range targets {
		if target == "" || seen[target] {
			return errors.Wrapf(ErrBadValue, "Targets name %.40q twice or an empty ID", target)
		}
		seen[target] = true
	}
	if len(targets) == 0 {
		return errors.Wrap(ErrBadValue, "Targets must not be empty")
	}
	return nil
}

func checkDigest(digest string) error {
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
		return errors.Wrap(ErrBadValue, "CredentialDigest must be 64 hexadecimal digits")
	}
	return nil
}

func checkLimit(rate float64, burst, inFlight int) error {
	if rate < 0 || rate > maxLimitValue || burst < 0 || burst > maxLimitValue || inFlight < 0 || inFlight > maxLimitValue {
		return errors.Wrapf(ErrBadValue, "limits must be from 0 to %.0f", maxLimitValue)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkReferences rejects changes that would leave an adapter without its model or a
// subtree without its team, or give two adapters the same name at engines. The error
// is ErrBadValue.
func checkReferences(current entries, changes []messenger.SettingChange) error {
	after := make(entries, len(current)+len(changes))
	for path, e := range current {
		after[path] = e
	}
	for _, change := range changes {
		after[change.Path] = messenger.SettingEntry{Path: change.Path, Deleted: change.Delete, Value: change.Value}
	}
	for _, change := range changes {
		path, err := ParsePath(change.Path)
		if err != nil {
			return err
		}
		if change.Delete {
			err = checkNotReferenced(after, path)
		} else {
			err = checkReferencesOf(after, path)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkNotReferenced rejects the deletion of a path that another one refers to.
func checkNotReferenced(after entries, path Path) error {
	var prefix string
	switch path.Kind {
	case KindModel:
		prefix = path.subtree() + "/adapters/" + path.Name + "/"
	case KindTeam:
		prefix = "/teams/" + path.Name + "/"
	default:
		return nil
	}
	for text := range after {
		if strings.HasPrefix(text, prefix) && after.has(text) {
			return errors.Wrapf(ErrBadValue, "%s is needed by %s", path.Text, text)
		}
	}
	return nil
}

// checkReferencesOf rejects a path whose team or model is not set, and an adapter
// whose name at engines is not unique.
func checkReferencesOf(after entries, path Path) error {
	if path.Owner != "" && !after.has("/platform/teams/"+path.Owner) {
		return errors.Wrapf(ErrBadValue, "%s needs team %s", path.Text, path.Owner)
	}
	if path.Kind != KindAdapter {
		return nil
	}
	if !after.has(path.subtree() + "/models/" + path.Model) {
		return errors.Wrapf(ErrBadValue, "%s needs model %s", path.Text, path.Model)
	}
	return checkEngineAdapterName(after, path)
}

// checkEngineAdapterName rejects an adapter if the name and version of another adapter
// of the model are joined to the same name at engines.
func checkEngineAdapterName(after entries, path Path) error {
	siblings := path.subtree() + "/adapters/" + path.Model + "/"
	own := engineAdapterName(after[path.Text].Value, path.Name)
	for text, e := range after {
		if text == path.Text || e.Deleted || !strings.HasPrefix(text, siblings) {
			continue
		}
		if engineAdapterName(e.Value, strings.TrimPrefix(text, siblings)) == own {
			return errors.Wrapf(ErrBadValue, "%s has the same name and version at engines as %s", path.Text, text)
		}
	}
	return nil
}
