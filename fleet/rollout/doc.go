// Package rollout decides which configuration a VM has in force.
//
// A file is taken whole or not at all, and only if it follows the one in
// force: by a higher version or, for two files that were published under one
// version, by the greater digest, so that all VMs settle on the same one. After
// a start a VM first asks others, so that a platform that serves an old file
// cannot bring it back.
package rollout
