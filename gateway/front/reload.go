package front

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/settings"
)

// fileStep is how often the settings file is looked at: it may change without a signal.
const fileStep = 2 * time.Second

// WatchFile reads the settings file again when it changed, until ctx ends.
func (f *Front) WatchFile(ctx context.Context, file string) {
	seen := stamp(file)
	for pause.For(ctx, fileStep) {
		if now := stamp(file); now != seen {
			seen = now
			f.Reload(file)
		}
	}
}

// fileStamp tells whether a file changed.
type fileStamp struct {
	changed time.Time
	size    int64
}

// stamp returns the stamp of a file; the zero stamp while it is not there, such as while it is replaced.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// Reload reads the settings file again. The log level takes effect at once; other changes are named in
// the log and take effect with the next start. A file that can't be read changes nothing.
func (f *Front) Reload(file string) {
	s, err := settings.LoadFront(file)
	if err != nil {
		f.telemetry.Log.WithError(err).Error("settings can't be read again; those in force stay")
		return
	}
	if level, err := logrus.ParseLevel(s.Logs.Level); err == nil {
		f.telemetry.Log.Logger.SetLevel(level)
	}
	f.telemetry.Log.WithField("needs_restart", *s != *f.settings).Info("settings read again")
}
