package front

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/gateway/settings"
)

// filePollInterval is the time between two checks of the settings file, which may change without a
// signal.
const filePollInterval = 2 * time.Second

// WatchFile reloads the settings file whenever it changes, until ctx ends.
func (f *Front) WatchFile(ctx context.Context, file string) {
	last := stamp(file)
	for pause.For(ctx, filePollInterval) {
		if now := stamp(file); now != last {
			last = now
			f.Reload(file)
		}
	}
}

// fileStamp is compared to find out whether a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns the stamp of a file. It is zero while the file does not exist, for instance while
// it is being replaced.
func stamp(file string) fileStamp {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// Reload reads the settings file again. The log level and the shares of teams take effect at once. Other changes take
// effect with the next start; the log says whether there are any. A file that can't be read or is
// invalid changes nothing.
func (f *Front) Reload(file string) {
	s, err := settings.LoadFront(file)
	if err != nil {
		f.telemetry.Log.WithError(err).Error("settings could not be reloaded; the current ones stay in force")
		return
	}
	if level, err := logrus.ParseLevel(s.Logs.Level); err == nil {
		f.telemetry.Log.Logger.SetLevel(level)
	}
	f.setShares(s.Overload.Shares)
	others := *s
	others.Overload.Shares = f.settings.Overload.Shares
	f.telemetry.Log.WithField("needs_restart", others != *f.settings).Info("settings reloaded")
}
