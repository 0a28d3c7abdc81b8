use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Request to append records to a stream of the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// Records to append; either all are appended or none.
    pub records: Vec<Value>,
}

/// Response to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: u64,
    /// Contents of the record.
    pub data: Value,
}

/// Response to a read of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Batch {
    /// Offset of the oldest record that the service still keeps.
    pub start: u64,
    /// Offset that the next appended record gets.
    pub end: u64,
    /// Records from the requested offset on, oldest first. There may be more of them
    /// up to `end`.
    pub records: Vec<Entry>,
}
