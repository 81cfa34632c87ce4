// Package work implements the application logic of the example deployments: the
// answers of the stand-ins' endpoints and the computations of their batch tasks.
//
// For a dictionary: Index looks up citation slips by headword, and Import
// validates a CSV text of new slips. For a jersey maker: Proof renders an order,
// CutPlan divides a size run into lays of cloth, and PrintWatch summarizes
// printer queues. All are pure functions of their input. For invalid CSV texts
// and lists, the error holds all findings with their positions.
//
// # Usage
//
//	slips, err := work.ParseSlips("slips.csv", text)
//	if err != nil {
//		return err
//	}
//	ix := work.NewIndex(slips)
//	body, err := ix.Answer([]byte(`{"word":"tinto"}`))
package work
