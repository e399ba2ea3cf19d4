package cli

import (
	"os"
	"runtime/pprof"

	"oatfold/internal/daemon"
	"oatfold/internal/daemon/config"
	"oatfold/internal/daemon/config/operator"
)

// serve runs the relay until it is stopped by a signal. It logs a failure.
func serve(o *options) error {
	log := o.log()
	sources := daemon.ConfigSources{LoadPlatform: func() (*config.Config, error) { return config.Load(os.Getenv) }}
	if o.operator != "" {
		sources.LoadOperator = func(c *config.Config) (*operator.Config, error) {
			return operator.Load(o.operator, c.MemoryBytes)
		}
	}
	if o.profile != "" {
		f, err := os.Create(o.profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	if err := daemon.Run(sources, log); err != nil {
		log.Error("relay failed", "err", err)
		return exitError(exitFault)
	}
	return nil
}
