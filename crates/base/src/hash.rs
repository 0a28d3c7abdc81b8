use twox_hash::XxHash64;

/// Hashes bytes. The result is the same in every process and version.
pub fn hash(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Returns the rendezvous-hashing weight of `node` for `key`. The node with the highest
/// weight is the first choice for the key.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + node.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(node.as_bytes());
    hash(&bytes)
}
