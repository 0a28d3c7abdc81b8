use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Body of an append to a stream of the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// Records to append, all or none.
    pub records: Vec<Value>,
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first record appended.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// The record.
    pub data: Value,
}

/// Records read from a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that the service still keeps.
    pub start: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// Records from the offset asked for, oldest first.
    pub records: Vec<Entry>,
}
