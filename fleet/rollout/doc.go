// Package rollout decides which configuration file is active on a VM.
//
// A file is activated as a whole or not at all, and only if it supersedes the
// active one: by a higher version or, for two files published under the same
// version, by the greater digest, so that all VMs converge on the same file.
// After a start, a VM queries its peers before it activates a file from the
// platform, so that a platform that serves an old file cannot roll the VM back.
package rollout
