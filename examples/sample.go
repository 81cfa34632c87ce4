// Package sample holds the files of the two example deployments, so that a
// program can carry them: settings, statements, and the slips that lookups
// answer from.
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

// Slips is the path in Files of the slips.
const Slips = "fichero/slips.csv"
