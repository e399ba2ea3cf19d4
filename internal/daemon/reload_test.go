package daemon

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"syscall"
	"testing"

	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
)

// Guards against a start that is refused, and a reload that is dropped, since the operator's file
// could not be read at one moment.
func TestPluginLoadRetriesPassingErrors(t *testing.T) {
	passing := &fs.PathError{Op: "open", Path: "operator", Err: syscall.EMFILE}
	wrong := errors.New("unknown key")
	for name, c := range map[string]struct {
		errs []error // of one read after the other
		want error
	}{"passing": {[]error{passing, passing, nil}, nil}, "wrong": {[]error{wrong, nil}, wrong}} {
		reads := 0
		sources := ConfigSources{LoadOperator: func(*config.Config) (*operator.Config, error) {
			reads++
			return &operator.Config{}, c.errs[reads-1]
		}}
		result := <-sources.loadPlugins(context.Background(), &config.Config{}, slog.New(slog.DiscardHandler))
		if result.err != c.want || (result.set == nil) != (c.want != nil) {
			t.Errorf("%s: set %v, %v after %d reads", name, result.set, result.err, reads)
		}
		result.set.Release()
	}
}
