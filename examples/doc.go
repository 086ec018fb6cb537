// Package examples embeds a complete configuration file for each of the two
// deployments that the project was built for. The folder also holds experiment
// files for amaranthctl.
package examples

import _ "embed" // The files are embedded.

// Workshop is the configuration of the workshop in Huế.
//
//go:embed workshop.json
var Workshop []byte

// Trentfeed is the configuration of the dispatch platform in the Midlands.
//
//go:embed trentfeed.json
var Trentfeed []byte
