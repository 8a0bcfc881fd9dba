package proxy

import (
	"context"
	"os"

	"go.uber.org/zap"

	"bankledge/internal/logevent"
)

// awaitReload reloads the configuration at each signal. It applies only the control feed's address and events that are not known yet;
// all other fields are fixed until a restart. An invalid configuration changes nothing.
func (r *Router) awaitReload(ctx context.Context, reload <-chan os.Signal, load ConfigLoader) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			r.reload(load)
		}
	}
}

func (r *Router) reload(load ConfigLoader) {
	cfg, err := load()
	if err != nil {
		r.log.Error(logevent.ConfigurationRejected, zap.Error(err))
		return
	}
	r.log.Info(logevent.ConfigurationReloaded, zap.String("feed", cfg.DiscoveryAddress), zap.Int64("known", cfg.LastEventID),
		zap.Strings("changed_but_fixed_until_a_restart", r.config.RestartRequired(cfg)))
	r.discovery.SetAddress(cfg.DiscoveryAddress, cfg.KnownEvents)
}
