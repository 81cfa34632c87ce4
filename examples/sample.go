// Package sample embeds the files of the two example deployments: settings,
// statements, experiments, and the slips that serve lookups.
//
// # Usage
//
//	setup, err := sample.Files.ReadFile("fichero/setup.jay")
package sample

import "embed"

// Files holds the directories fichero, mwakalinga and experiments.
//
//go:embed fichero mwakalinga experiments
var Files embed.FS

// Slips is the path of the slips in Files.
const Slips = "fichero/slips.csv"
