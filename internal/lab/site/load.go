// Package site reads the laboratory's files (sites, scripts, experiments) and draws scenarios from
// them. The same file and seed give the same scenario.
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

// FileExt is the extension of the laboratory's files.
const FileExt = ".textproto"

// readFile parses a file and checks all numbers in it.
func readFile(file string, message proto.Message) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := prototext.Unmarshal(raw, message); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if err := checkRanges(message.ProtoReflect(), ""); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// checkRanges returns an error that names the first invalid range or number by its path.
func checkRanges(message protoreflect.Message, path string) (err error) {
	if interval, ok := message.Interface().(*Range); ok {
		end := interval.From
		if interval.To != nil {
			end = *interval.To
		}
		switch {
		case math.IsNaN(interval.From) || math.IsNaN(end) || math.IsInf(interval.From, 0) || math.IsInf(end, 0):
			return fmt.Errorf("%s: from %g to %g is not a finite range", path, interval.From, end)
		case end < interval.From:
			return fmt.Errorf("%s: from %g to %g is reversed", path, interval.From, end)
		case interval.From < 0:
			return fmt.Errorf("%s: %g is negative", path, interval.From)
		}
		return nil
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		key := strings.TrimPrefix(path+"."+string(field.Name()), ".")
		switch {
		case field.IsList() && field.Message() != nil:
			for i := range value.List().Len() {
				if err = checkRanges(value.List().Get(i).Message(), fmt.Sprintf("%s[%d]", key, i)); err != nil {
					return false
				}
			}
		case field.Message() != nil:
			err = checkRanges(value.Message(), key)
		case field.Kind() == protoreflect.DoubleKind && !field.IsList():
			if number := value.Float(); math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
				err = fmt.Errorf("%s: %g is not a finite number of at least 0", key, number)
			}
		}
		return err == nil
	})
	return err
}

// ReadSite reads the file of a site. A site without a name gets that of its file.
func ReadSite(file string) (*Site, error) {
	site := &Site{}
	if err := readFile(file, site); err != nil {
		return nil, err
	}
	for key, count := range map[string]int{"class": len(site.Class), "kind": len(site.Kind)} {
		if count == 0 {
			return nil, fmt.Errorf("%s: %s: is missing", file, key)
		}
	}
	if site.Name == "" {
		site.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	return site, nil
}

// ReadScript reads the script of a scenario. The path of its site is relative to the file.
func ReadScript(file string) (*Script, error) {
	script := &Script{}
	if err := readFile(file, script); err != nil {
		return nil, err
	}
	if script.Name == "" {
		script.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	if script.Site != "" {
		script.Site = filepath.Join(filepath.Dir(file), script.Site)
	}
	return script, nil
}

// ReadExperiment reads an experiment. Paths in it are relative to the file.
func ReadExperiment(file string) (*Experiment, error) {
	experiment := &Experiment{}
	if err := readFile(file, experiment); err != nil {
		return nil, err
	}
	dir := filepath.Dir(file)
	if experiment.Name == "" {
		experiment.Name = strings.TrimSuffix(filepath.Base(file), FileExt)
	}
	if experiment.Site == "" {
		return nil, fmt.Errorf("%s: site: is missing", file)
	}
	experiment.Site = filepath.Join(dir, experiment.Site)
	for i := range experiment.Script {
		experiment.Script[i] = filepath.Join(dir, experiment.Script[i])
	}
	seen := map[string]bool{}
	for i, arm := range experiment.Arm {
		if arm.Name == "" || seen[arm.Name] {
			return nil, fmt.Errorf("%s: arm[%d].name: %q is empty or used twice", file, i, arm.Name)
		}
		seen[arm.Name] = true
	}
	if len(experiment.Arm) == 0 {
		return nil, fmt.Errorf("%s: arm: is missing", file)
	}
	if experiment.Baseline == "" {
		experiment.Baseline = experiment.Arm[0].Name
	}
	if !seen[experiment.Baseline] {
		return nil, fmt.Errorf("%s: baseline: there is no arm %q", file, experiment.Baseline)
	}
	if experiment.Repeats < 0 || experiment.Repeats > 10_000 {
		return nil, fmt.Errorf("%s: repeats: %d is not between 0 and 10000", file, experiment.Repeats)
	}
	experiment.Repeats = max(1, experiment.Repeats)
	return experiment, nil
}
