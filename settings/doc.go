// Package settings reads the settings file of an entry instance; a file with any
// invalid value is refused as a whole.
package settings
