// Package store keeps the records of durable batch jobs on disk, in a log that is split into segments. It assumes that data
// that is not synced may be lost or torn in a crash, and that a failed sync can't be repaired by another one. Package leases
// decides what the records of a job mean.
//
// # Format
//
// A directory holds consecutively numbered segments and a lock file. A segment is a header and a sequence of frames:
//
//	segment = magic "brst", format version (4 bytes), segment number (8 bytes), frame ...
//	frame   = magic (4 bytes), length of the records (4 bytes), checksum (4 bytes), record ...
//	record  = a CBOR map with integer keys
//
// Numbers are little-endian. The checksum is a CRC-32C of the length and the records. A frame holds the records that were
// synced together, and is valid as a whole or not at all. So a disk that writes its pages in any order can't bring back some
// of the records of a frame that was never acknowledged.
//
// # Appending
//
// Append queues a record. One goroutine writes all queued records as one frame, syncs the file once and then calls the
// records' callbacks. This is a group commit (commit.go). After a failed write or sync the store accepts no more records,
// because it is unknown what has reached the disk.
//
// # Recovery
//
// Open reads all segments (recovery.go, scan.go). A torn tail of the last segment is truncated: none of it was acknowledged.
// Any other damage is a CorruptionError. New records are written to a new segment.
//
// # Compaction
//
// When at most half of the oldest segment is live, all records of the jobs that begin in it are copied to the last segment,
// and the oldest segment is removed (compaction.go). This happens between two commits, while the store is in use.
package store
