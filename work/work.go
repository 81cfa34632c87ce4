// Package work holds the work that the example deployments do: what the
// stand-ins' endpoints answer and what their batch tasks compute.
//
// For a dictionary: Index looks citation slips up by headword, and Import
// checks a CSV text of fresh slips. For a jersey maker: Proof renders an order,
// CutPlan divides a size run into lays of cloth, and PrintWatch sums up printer
// queues. All are pure functions of their input. Input that is wrong gives
// findings with their places, all in one go.
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
