// Package site reads the laboratory's files (sites, scripts of days, experiments) and draws days from them. The same file and
// seed give the same day.
package site

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// FileExt is the ending of the laboratory's files.
const FileExt = ".textproto"

func readFile(file string, into proto.Message) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := prototext.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if err := checkRanges(into.ProtoReflect(), ""); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// checkRanges names the first range that can't be drawn from.
func checkRanges(m protoreflect.Message, at string) (err error) {
	if r, ok := m.Interface().(*Range); ok {
		to := r.From
		if r.To != nil {
			to = *r.To
		}
		switch {
		case math.IsNaN(r.From) || math.IsNaN(to) || math.IsInf(r.From, 0) || math.IsInf(to, 0):
			return fmt.Errorf("%s: from %g to %g is no range of numbers", at, r.From, to)
		case to < r.From:
			return fmt.Errorf("%s: from %g to %g runs backwards", at, r.From, to)
		case r.From < 0:
			return fmt.Errorf("%s: %g is under 0", at, r.From)
		}
		return nil
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		key := strings.TrimPrefix(at+"."+string(f.Name()), ".")
		switch {
		case f.IsList() && f.Message() != nil:
			for i := range v.List().Len() {
				if err = checkRanges(v.List().Get(i).Message(), fmt.Sprintf("%s[%d]", key, i)); err != nil {
					return false
				}
			}
		case f.Message() != nil:
			err = checkRanges(v.Message(), key)
		case f.Kind() == protoreflect.DoubleKind && !f.IsList():
			if x := v.Float(); math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				err = fmt.Errorf("%s: %g is no number of at least 0", key, x)
			}
		}
		return err == nil
	})
	return err
}

// ReadSite reads a site's file.
func ReadSite(file string) (*Site, error) {
	s := &Site{}
	if err := readFile(file, s); err != nil {
		return nil, err
	}
	for key, n := range map[string]int{"class": len(s.Class), "kind": len(s.Kind)} {
		if n == 0 {
			return nil, fmt.Errorf("%s: %s: none is given", file, key)
		}
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	return s, nil
}

// ReadScript reads a day of the library.
func ReadScript(file string) (*Script, error) {
	s := &Script{}
	if err := readFile(file, s); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	if s.Site != "" {
		s.Site = filepath.Join(filepath.Dir(file), s.Site)
	}
	return s, nil
}

// ReadExperiment reads an experiment; the files that it names are taken from its folder.
func ReadExperiment(file string) (*Experiment, error) {
	e := &Experiment{}
	if err := readFile(file, e); err != nil {
		return nil, err
	}
	dir := filepath.Dir(file)
	if e.Name == "" {
		e.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	if e.Site == "" {
		return nil, fmt.Errorf("%s: site: not given", file)
	}
	e.Site = filepath.Join(dir, e.Site)
	for i := range e.Script {
		e.Script[i] = filepath.Join(dir, e.Script[i])
	}
	seen := map[string]bool{}
	for i, a := range e.Arm {
		if a.Name == "" || seen[a.Name] {
			return nil, fmt.Errorf("%s: arm[%d].name: %q is empty or there twice", file, i, a.Name)
		}
		seen[a.Name] = true
	}
	if len(e.Arm) == 0 {
		return nil, fmt.Errorf("%s: arm: none is given", file)
	}
	if e.Baseline == "" {
		e.Baseline = e.Arm[0].Name
	}
	if !seen[e.Baseline] {
		return nil, fmt.Errorf("%s: baseline: no arm is called %q", file, e.Baseline)
	}
	if e.Repeats < 0 || e.Repeats > 10_000 {
		return nil, fmt.Errorf("%s: repeats: %d does not lie within 1 and 10000", file, e.Repeats)
	}
	e.Repeats = max(1, e.Repeats)
	return e, nil
}
