package berylrunner

// Evacuated sets the function that reports whether the data centre of the backend server is
// evacuated. Senders may not know that yet, so the instance beside the server refuses as well.
func Evacuated(f func() bool) func(*Runner) {
	return func(r *Runner) { r.isEvacuated = f }
}
