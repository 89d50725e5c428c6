// Package store keeps the records of durable batch jobs on disk, in a log that is split into segments. It assumes that a crash can
// lose or tear data that is not synced, and that another sync can't repair a failed one. Package leases decides what the records
// of a job mean.
//
// # Format
//
// A directory holds consecutively numbered segments and a lock file. A segment is a header and a sequence of frames:
//
//	segment = magic "brst", format version (4 bytes), segment number (8 bytes), frame ...
//	frame   = magic (4 bytes), length of the records (4 bytes), checksum (4 bytes), record ...
//	record  = a CBOR map with integer keys
//
// Text in a record is a CBOR text string, or a byte string if it is not UTF-8 (codec.go).
//
// Numbers are little-endian. The checksum is a CRC-32C of the length and the records. A frame holds records that were synced
// together, at most 4 MiB of them, and is valid as a whole or not at all. A disk can write its pages in any order, so a crash can
// leave a part of a frame that was never acknowledged on disk. The checksum prevents recovery from using any record of such a
// frame.
//
// # Appending
//
// Append queues a record. One goroutine writes the queued records as one frame, or as several if they need it, syncs the file after
// each frame and then calls the records' callbacks. This is a group commit (commit.go). After a failed write or sync the store accepts no more records, because
// it is unknown which data has reached the disk.
//
// # Recovery
//
// Open reads all segments (recovery.go, scan.go). A torn tail of the last segment is truncated, because no record in the tail was
// acknowledged. Any other damage is an error, such as a CorruptionError. New records are written to a new segment.
//
// # Compaction
//
// When at most half of the oldest segment is live, the segment is compacted (compaction.go): all records of the jobs whose first
// record is in that segment are copied to the last segment, and the oldest segment is removed. This happens between two commits,
// while the store is in use. After a crash during a compaction some records exist twice; recovery ignores the second.
package store
