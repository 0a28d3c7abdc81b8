//! A VM that leads alone, with callers and a store that fail.

mod acks;
mod drain;
mod vm;
