// Package store keeps the records of durable batch jobs on disk, in a log of segments. It assumes that unsynced data
// may be lost or torn, and that a failed sync is final. What a job's records mean is not decided here but in package leases.
//
// # Format
//
// A directory holds consecutively numbered segments, and a lock file. A segment is a header and a sequence of frames:
//
//	segment = magic "brst", format version (4 bytes), segment number (8 bytes), frame ...
//	frame   = magic (4 bytes), length of the records (4 bytes), checksum (4 bytes), record ...
//	record  = a CBOR map with integer keys
//
// Numbers are little-endian. The checksum is CRC-32C over the length and the records. A frame holds what was synced together. It counts
// as a whole or not at all, so a disk that writes its pages in any order can't bring back a part of what was never acknowledged.
//
// # Appending
//
// Append queues a record. One goroutine writes all that is queued as one frame, with one fsync, and then calls back: this is group
// commit (commit.go). After a failed write or sync the store accepts nothing more, as nobody knows what is left on the disk.
//
// # Recovery
//
// Open reads all segments (recovery.go, scan.go). A torn tail of the last segment is truncated: it was never acknowledged. Any other
// damage is a CorruptionError. Writing goes on in a new segment.
//
// # Compaction
//
// The oldest segment is removed once no more than half of it is live: the records of its jobs are written to the last segment first
// (compaction.go). This happens between two commits, while the store serves.
package store
