package front

import (
	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/settings"
)

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
