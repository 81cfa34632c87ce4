package load
import ("testing";"context";"os")
func TestProf(t *testing.T) {
	x, err := Parse("x", []byte(`name="p"
site="fichero"
[[loads]]
name="l"
service="lookup"
rate=`+os.Getenv("RATE")+`
for="10s"
`))
	if err!=nil {t.Fatal(err)}
	r, err := Run(context.Background(), x)
	if err!=nil {t.Fatal(err)}
	r.WriteText(os.Stdout)
}
